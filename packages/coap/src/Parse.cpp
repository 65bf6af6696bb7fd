#include "burdockstream/coap/CoapMessage.h"

#include <coap3/coap.h>

#include <memory>

namespace burdockstream::coap {

namespace {

using Pdu = std::unique_ptr<coap_pdu_t, decltype(&coap_delete_pdu)>;

// libcoap logs every malformed datagram. Any host can send such datagrams, so
// logging is disabled; the returned error reports the failure.
void disableLibcoapLogging() {
  static const bool Done = [] {
    coap_set_log_level(LOG_EMERG);
    return true;
  }();
  (void)Done;
}

std::optional<Block> decodeBlock(std::span<const uint8_t> Value) {
  const uint32_t Number = coap_decode_var_bytes(Value.data(), Value.size());
  const uint8_t Exponent = Number & 7;
  if (Exponent == 7) // reserved by RFC 7959
    return std::nullopt;
  return Block{Number >> 4, (Number & 8) != 0, Exponent};
}

// Stores an unsigned integer option of at most MaxSize bytes. Returns false if
// the value is too long or the option is already set; RFC 7252 treats both like
// an unknown option.
template <typename T>
bool storeUint(std::optional<T> &Field, std::span<const uint8_t> Value,
               size_t MaxSize) {
  if (Field || Value.size() > MaxSize)
    return false;
  Field = static_cast<T>(coap_decode_var_bytes8(Value.data(), Value.size()));
  return true;
}

bool storeNotAfter(CoapMessage &Message, std::span<const uint8_t> Value) {
  std::optional<int64_t> Milliseconds;
  if (Message.NotAfter || !storeUint(Milliseconds, Value, 7))
    return false;
  Message.NotAfter = base::WallTime{*Milliseconds};
  return true;
}

bool storeBlock(CoapMessage &Message, std::span<const uint8_t> Value) {
  if (Message.Block2 || Value.size() > 3)
    return false;
  Message.Block2 = decodeBlock(Value);
  return Message.Block2.has_value();
}

bool storeETag(CoapMessage &Message, std::span<const uint8_t> Value) {
  if (!Message.ETag.empty() || Value.empty() || Value.size() > 8)
    return false;
  Message.ETag.assign(Value.begin(), Value.end());
  return true;
}

// Stores the option in its field of Message. Returns false if it has none or
// its value is invalid there.
bool storeOption(CoapMessage &Message, uint16_t Number,
                 std::span<const uint8_t> Value) {
  switch (Number) {
  case COAP_OPTION_URI_PATH:
    Message.Path.emplace_back(Value.begin(), Value.end());
    return true;
  case COAP_OPTION_URI_QUERY:
    Message.Query.emplace_back(Value.begin(), Value.end());
    return true;
  case COAP_OPTION_OBSERVE:
    return storeUint(Message.Observe, Value, 3);
  case COAP_OPTION_BLOCK2:
    return storeBlock(Message, Value);
  case COAP_OPTION_ETAG:
    return storeETag(Message, Value);
  case COAP_OPTION_MAXAGE:
    return storeUint(Message.MaxAgeSeconds, Value, 4);
  case COAP_OPTION_CONTENT_FORMAT:
    return storeUint(Message.ContentFormat, Value, 2);
  case NotAfterOption:
    return storeNotAfter(Message, Value);
  default:
    return false;
  }
}

bool readOptions(const coap_pdu_t *Source, CoapMessage &Message) {
  coap_opt_iterator_t Iterator;
  if (coap_option_iterator_init(Source, &Iterator, COAP_OPT_ALL) == nullptr)
    return true;
  while (const coap_opt_t *Option = coap_option_next(&Iterator)) {
    const std::span<const uint8_t> Value(coap_opt_value(Option),
                                         coap_opt_length(Option));
    if (!storeOption(Message, Iterator.number, Value))
      Message.OtherOptions.push_back(
          {Iterator.number, Bytes(Value.begin(), Value.end())});
  }
  return true;
}

} // namespace

base::Result<CoapMessage> parseMessage(std::span<const uint8_t> Datagram) {
  disableLibcoapLogging();
  const Pdu Source(
      coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, Datagram.size()),
      &coap_delete_pdu);
  if (!Source || Datagram.size() < 4 ||
      coap_pdu_parse(COAP_PROTO_UDP, Datagram.data(), Datagram.size(),
                     Source.get()) == 0)
    return base::makeError(base::ErrorKind::Corrupt,
                           "datagram is not a valid CoAP message (RFC 7252)");
  CoapMessage Message;
  Message.Type = static_cast<MessageType>(coap_pdu_get_type(Source.get()));
  Message.MessageCode = static_cast<Code>(coap_pdu_get_code(Source.get()));
  Message.MessageId = static_cast<uint16_t>(coap_pdu_get_mid(Source.get()));
  const coap_bin_const_t Token = coap_pdu_get_token(Source.get());
  Message.Token.assign(Token.s, Token.s + Token.length);
  readOptions(Source.get(), Message);
  size_t Length = 0;
  const uint8_t *Data = nullptr;
  if (coap_get_data(Source.get(), &Length, &Data) != 0)
    Message.Payload.assign(Data, Data + Length);
  return Message;
}

} // namespace burdockstream::coap
