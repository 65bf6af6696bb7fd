#include "burdockstream/coap/CoapMessage.h"

#include <coap3/coap.h>

#include <algorithm>
#include <array>

namespace burdockstream::coap {

namespace {

constexpr uint8_t Version = 1;
constexpr uint8_t PayloadMarker = 0xff;
// Largest payload of a UDP datagram over IPv4.
constexpr size_t MaxDatagramBytes = 65'507;
constexpr size_t MaxOptionBytes = 255;

Bytes encodeUint(uint64_t Value) {
  std::array<uint8_t, 8> Buffer{};
  const size_t Length =
      coap_encode_var_safe8(Buffer.data(), Buffer.size(), Value);
  return {Buffer.begin(), Buffer.begin() + static_cast<ptrdiff_t>(Length)};
}

Bytes bytesFromString(const std::string &Text) {
  return {Text.begin(), Text.end()};
}

uint32_t encodeBlock(const Block &Value) {
  return (Value.Number << 4) | (Value.More ? 8U : 0U) | Value.SizeExponent;
}

// Returns all options of Message, sorted by option number as the delta encoding
// requires.
std::vector<RawOption> listOptions(const CoapMessage &Message) {
  std::vector<RawOption> Options;
  for (const std::string &Segment : Message.Path)
    Options.push_back({COAP_OPTION_URI_PATH, bytesFromString(Segment)});
  for (const std::string &Item : Message.Query)
    Options.push_back({COAP_OPTION_URI_QUERY, bytesFromString(Item)});
  if (Message.Observe)
    Options.push_back({COAP_OPTION_OBSERVE, encodeUint(*Message.Observe)});
  if (Message.Block2)
    Options.push_back(
        {COAP_OPTION_BLOCK2, encodeUint(encodeBlock(*Message.Block2))});
  if (!Message.ETag.empty())
    Options.push_back({COAP_OPTION_ETAG, Message.ETag});
  if (Message.MaxAgeSeconds)
    Options.push_back({COAP_OPTION_MAXAGE, encodeUint(*Message.MaxAgeSeconds)});
  if (Message.ContentFormat)
    Options.push_back(
        {COAP_OPTION_CONTENT_FORMAT, encodeUint(*Message.ContentFormat)});
  if (Message.NotAfter)
    Options.push_back({NotAfterOption, encodeUint(static_cast<uint64_t>(
                                           Message.NotAfter->Milliseconds))});
  Options.insert(Options.end(), Message.OtherOptions.begin(),
                 Message.OtherOptions.end());
  std::ranges::stable_sort(Options, {}, &RawOption::Number);
  return Options;
}

// Returns a description of the first field that cannot be encoded, or an empty
// string.
std::string_view findLimitViolation(const CoapMessage &Message) {
  if (Message.Token.size() > 8)
    return "a token has at most 8 bytes";
  if (Message.Observe.value_or(0) >= 1U << 24)
    return "an Observe value has at most 24 bits";
  if (Message.Block2 &&
      (Message.Block2->Number >= 1U << 20 || Message.Block2->SizeExponent > 6))
    return "a block number has at most 20 bits and a size exponent is at most "
           "6";
  if (Message.ETag.size() > 8)
    return "an ETag has at most 8 bytes";
  if (Message.NotAfter && (Message.NotAfter->Milliseconds < 0 ||
                           Message.NotAfter->Milliseconds >= int64_t{1} << 56))
    return "a not-after time has at most 56 bits";
  if (Message.MessageCode == Code::Empty &&
      (!Message.Token.empty() || !Message.Payload.empty() ||
       !listOptions(Message).empty()))
    return "an empty message has neither token, options nor payload";
  return {};
}

base::Result<size_t> appendOptions(const CoapMessage &Message,
                                   Bytes &Datagram) {
  uint16_t Previous = 0;
  for (const RawOption &Option : listOptions(Message)) {
    if (Option.Value.size() > MaxOptionBytes)
      return base::makeError(base::ErrorKind::LimitExceeded,
                             "an option has at most 255 bytes; shorten it");
    const uint16_t Delta = Option.Number - Previous;
    const size_t Size = coap_opt_encode_size(Delta, Option.Value.size());
    const size_t Start = Datagram.size();
    Datagram.resize(Start + Size);
    if (coap_opt_encode(Datagram.data() + Start, Size, Delta,
                        Option.Value.data(), Option.Value.size()) != Size)
      return base::makeError(base::ErrorKind::InvalidArgument,
                             "an option cannot be encoded; check its number");
    Previous = Option.Number;
  }
  return Datagram.size();
}

} // namespace

base::Result<messages::Bytes> serializeMessage(const CoapMessage &Message) {
  if (const std::string_view Reason = findLimitViolation(Message);
      !Reason.empty())
    return base::makeError(base::ErrorKind::InvalidArgument,
                           std::string(Reason));
  // libcoap 4.3.1 has no public function that writes the fixed header.
  Bytes Datagram = {
      static_cast<uint8_t>((Version << 6) |
                           (static_cast<uint8_t>(Message.Type) << 4) |
                           Message.Token.size()),
      static_cast<uint8_t>(Message.MessageCode),
      static_cast<uint8_t>(Message.MessageId >> 8),
      static_cast<uint8_t>(Message.MessageId),
  };
  Datagram.insert(Datagram.end(), Message.Token.begin(), Message.Token.end());
  if (auto Appended = appendOptions(Message, Datagram); !Appended)
    return Appended.error();
  if (!Message.Payload.empty()) {
    Datagram.push_back(PayloadMarker);
    Datagram.insert(Datagram.end(), Message.Payload.begin(),
                    Message.Payload.end());
  }
  if (Datagram.size() > MaxDatagramBytes)
    return base::makeError(base::ErrorKind::LimitExceeded,
                           "the message exceeds a UDP datagram; use blocks");
  return Datagram;
}

} // namespace burdockstream::coap
