#include "burdockstream/messages/MessageCodec.h"

#include "burdockstream/messages/MessageBody.h"

#include <cstring>
#include <glog/logging.h>
#include <sodium.h>

namespace burdockstream::messages {

namespace {

static_assert(crypto_shorthash_siphashx24_BYTES == MacBytes);
static_assert(crypto_shorthash_siphashx24_KEYBYTES ==
              sizeof(MessageKey::Secret));

constexpr size_t SenderOffset = 2;
constexpr size_t SequenceOffset = 10;

void writeBigEndian(std::span<uint8_t> Out, size_t Offset, uint64_t Value) {
  for (size_t I = 0; I < sizeof(Value); ++I)
    Out[Offset + I] = static_cast<uint8_t>(Value >> (56 - 8 * I));
}

uint64_t readBigEndian(std::span<const uint8_t> In, size_t Offset) {
  uint64_t Value = 0;
  for (size_t I = 0; I < sizeof(Value); ++I)
    Value = (Value << 8) | In[Offset + I];
  return Value;
}

std::array<uint8_t, MacBytes> computeMac(std::span<const uint8_t> Input,
                                         const MessageKey &Key) {
  std::array<uint8_t, MacBytes> Mac;
  crypto_shorthash_siphashx24(Mac.data(), Input.data(), Input.size(),
                              Key.Secret.data());
  return Mac;
}

// Text must have at most 15 characters: such strings are stored inline, so that
// rejecting a datagram allocates no memory.
base::Error corruptError(const char *Text) {
  return base::makeError(base::ErrorKind::Corrupt, Text);
}

} // namespace

base::Result<MessageKey> parseMessageKey(uint8_t Id, std::string_view Hex) {
  MessageKey Key{Id, {}};
  size_t Size = 0;
  const char *End = nullptr;
  if (sodium_hex2bin(Key.Secret.data(), Key.Secret.size(), Hex.data(),
                     Hex.size(), nullptr, &Size, &End) != 0 ||
      Size != Key.Secret.size() || End != Hex.data() + Hex.size())
    return base::makeError(base::ErrorKind::InvalidArgument,
                           "message key must be 32 hexadecimal digits; create "
                           "one with 'openssl rand -hex 16'");
  return Key;
}

MessageCodec::MessageCodec(base::DaemonId InitSelf, const MessageKeys &InitKeys,
                           size_t MaxSenders)
    : Self(InitSelf), Window(MaxSenders) {
  CHECK_NE(Self.Value, 0U);
  setKeys(InitKeys);
}

void MessageCodec::setKeys(const MessageKeys &NewKeys) {
  CHECK(!NewKeys.AlsoAccepted ||
        NewKeys.AlsoAccepted->Id != NewKeys.Sending.Id);
  Keys = NewKeys;
}

const MessageKey *MessageCodec::findKey(uint8_t Id) const {
  if (Id == Keys.Sending.Id)
    return &Keys.Sending;
  if (Keys.AlsoAccepted && Id == Keys.AlsoAccepted->Id)
    return &*Keys.AlsoAccepted;
  return nullptr;
}

void MessageCodec::writeHeader(std::span<uint8_t> Out) const {
  Out[0] = WireVersion;
  Out[1] = Keys.Sending.Id;
  writeBigEndian(Out, SenderOffset, Self.Value);
  writeBigEndian(Out, SequenceOffset, NextSequence);
}

// Writes the header and the MAC around a body that is stored at offset
// FrameHeaderBytes. Returns the size of the datagram, or zero if Out is too
// small or the body is empty.
size_t MessageCodec::seal(std::span<uint8_t> Out, size_t BodySize) {
  const size_t MacOffset = FrameHeaderBytes + BodySize;
  if (BodySize == 0 || Out.size() < MacOffset + MacBytes)
    return 0;
  writeHeader(Out);
  ++NextSequence;
  const auto Mac = computeMac(Out.first(MacOffset), Keys.Sending);
  std::memcpy(Out.data() + MacOffset, Mac.data(), MacBytes);
  return MacOffset + MacBytes;
}

Bytes MessageCodec::encode(const Message &Body) {
  Bytes Out(FrameHeaderBytes);
  BytesWriter Writer(Out);
  msgpack::packer<BytesWriter>(Writer).pack(Body);
  const size_t BodySize = Out.size() - FrameHeaderBytes;
  Out.resize(Out.size() + MacBytes);
  seal(Out, BodySize);
  return Out;
}

size_t MessageCodec::encodeForward(std::span<uint8_t> Out,
                                   const ForwardView &View) {
  if (Out.size() < FrameBytes)
    return 0;
  return seal(Out, packForward(Out.subspan(FrameHeaderBytes), View));
}

size_t MessageCodec::encodeReply(std::span<uint8_t> Out,
                                 const ReplyView &View) {
  if (Out.size() < FrameBytes)
    return 0;
  return seal(Out, packReply(Out.subspan(FrameHeaderBytes), View));
}

base::Result<MessageCodec::Frame>
MessageCodec::authenticateFrame(std::span<const uint8_t> Datagram) {
  if (Datagram.size() <= FrameBytes || Datagram.size() > MaxDatagramBytes) {
    ++Counters.Truncated;
    return corruptError("bad size");
  }
  if (Datagram[0] != WireVersion) {
    ++Counters.BadVersion;
    return corruptError("bad version");
  }
  const MessageKey *Key = findKey(Datagram[1]);
  if (!Key) {
    ++Counters.UnknownKey;
    return corruptError("unknown key");
  }
  const size_t MacOffset = Datagram.size() - MacBytes;
  const auto Mac = computeMac(Datagram.first(MacOffset), *Key);
  if (sodium_memcmp(Mac.data(), Datagram.data() + MacOffset, MacBytes) != 0) {
    ++Counters.BadMac;
    return corruptError("bad MAC");
  }
  Frame Authenticated{
      base::DaemonId{readBigEndian(Datagram, SenderOffset)},
      readBigEndian(Datagram, SequenceOffset),
      Datagram.subspan(FrameHeaderBytes, Datagram.size() - FrameBytes)};
  if (!Window.accept(Authenticated.Sender, Authenticated.Sequence)) {
    ++Counters.Replayed;
    return base::makeError(base::ErrorKind::AlreadyExists, "replayed");
  }
  return Authenticated;
}

base::Result<Decoded> MessageCodec::decode(std::span<const uint8_t> Datagram) {
  const auto Authenticated = authenticateFrame(Datagram);
  if (!Authenticated)
    return Authenticated.error();
  auto Body = unpackBody(Authenticated.value().Body);
  if (!Body) {
    ++Counters.BadBody;
    return Body.error();
  }
  ++Counters.Accepted;
  return Decoded{Authenticated.value().Sender, Authenticated.value().Sequence,
                 std::move(Body.value())};
}

std::optional<DecodedForward>
MessageCodec::decodeForwardView(std::span<const uint8_t> Datagram) {
  const auto Authenticated = authenticateFrame(Datagram);
  if (!Authenticated)
    return std::nullopt;
  const auto Body = unpackForward(Authenticated.value().Body);
  if (!Body) {
    ++Counters.BadBody;
    return std::nullopt;
  }
  ++Counters.Accepted;
  return DecodedForward{Authenticated.value().Sender,
                        Authenticated.value().Sequence, *Body};
}

std::optional<DecodedReply>
MessageCodec::decodeReplyView(std::span<const uint8_t> Datagram) {
  const auto Authenticated = authenticateFrame(Datagram);
  if (!Authenticated)
    return std::nullopt;
  const auto Body = unpackReply(Authenticated.value().Body);
  if (!Body) {
    ++Counters.BadBody;
    return std::nullopt;
  }
  ++Counters.Accepted;
  return DecodedReply{Authenticated.value().Sender,
                      Authenticated.value().Sequence, *Body};
}

std::optional<uint8_t>
MessageCodec::peekType(std::span<const uint8_t> Datagram) {
  constexpr size_t TypeOffset = FrameHeaderBytes + 1;
  if (Datagram.size() <= FrameBytes || Datagram[0] != WireVersion ||
      Datagram[TypeOffset] >= std::variant_size_v<Message>)
    return std::nullopt;
  return Datagram[TypeOffset];
}

} // namespace burdockstream::messages
