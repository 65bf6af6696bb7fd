#include "burdockstream/messages/DataMessages.h"

#include "burdockstream/messages/Messages.h"

#include <cstring>
#include <limits>
#include <type_traits>

namespace burdockstream::messages {

namespace {

static_assert(
    std::is_same_v<std::variant_alternative_t<ForwardType, Message>, Forward>);
static_assert(
    std::is_same_v<std::variant_alternative_t<ReplyType, Message>, Reply>);

constexpr uint32_t ForwardFieldCount = 6;
constexpr uint32_t ReplyFieldCount = 3;

// Output stream for msgpack::packer that writes to a buffer of fixed size.
class SpanWriter {
public:
  explicit SpanWriter(std::span<uint8_t> InitOut) : Out(InitOut) {}

  void write(const char *Data, size_t Size) {
    if (Size > Out.size() - Used) {
      Overflow = true;
      return;
    }
    std::memcpy(Out.data() + Used, Data, Size);
    Used += Size;
  }

  size_t size() const { return Overflow ? 0 : Used; }

private:
  std::span<uint8_t> Out;
  size_t Used = 0;
  bool Overflow = false;
};

using SpanPacker = msgpack::packer<SpanWriter>;

void packHeader(SpanPacker &Packer, uint8_t Type, uint32_t FieldCount) {
  Packer.pack_array(2);
  Packer.pack_uint8(Type);
  Packer.pack_array(FieldCount);
}

void packPayload(SpanPacker &Packer, std::span<const uint8_t> Payload) {
  const auto Size = static_cast<uint32_t>(Payload.size());
  Packer.pack_bin(Size);
  Packer.pack_bin_body(reinterpret_cast<const char *>(Payload.data()), Size);
}

// Reads msgpack values of expected types from a buffer. After the first
// mismatch all further reads fail.
class MsgpackReader {
public:
  explicit MsgpackReader(std::span<const uint8_t> InitInput)
      : Input(InitInput) {}

  bool atEnd() const { return !Failed && Input.empty(); }

  bool readHeader(uint8_t Type, uint8_t FieldCount) {
    return expectByte(0x92) && expectByte(Type) &&
           expectByte(static_cast<uint8_t>(0x90 | FieldCount));
  }

  template <typename T> bool readUnsigned(T &Value) {
    uint64_t Wide = 0;
    if (!readUint64(Wide) || Wide > std::numeric_limits<T>::max())
      return fail();
    Value = static_cast<T>(Wide);
    return true;
  }

  bool readAddress(base::SocketAddress &Address) {
    uint64_t Packed = 0;
    if (!readUint64(Packed) || Packed >> 48 != 0)
      return fail();
    Address = {static_cast<uint32_t>(Packed >> 16),
               static_cast<uint16_t>(Packed)};
    return true;
  }

  bool readBinary(std::span<const uint8_t> &Value) {
    uint64_t Size = 0;
    const uint8_t Tag = Input.empty() ? 0 : Input[0];
    if (Tag < 0xc4 || Tag > 0xc6 ||
        !readBigEndian(size_t{1} << (Tag - 0xc4), Size))
      return fail();
    if (Size > Input.size())
      return fail();
    Value = Input.first(Size);
    Input = Input.subspan(Size);
    return true;
  }

private:
  bool fail() {
    Failed = true;
    Input = {};
    return false;
  }

  bool expectByte(uint8_t Expected) {
    if (Input.empty() || Input[0] != Expected)
      return fail();
    Input = Input.subspan(1);
    return true;
  }

  // Reads a big-endian integer of Width bytes that follows the type tag.
  bool readBigEndian(size_t Width, uint64_t &Value) {
    if (Input.size() < 1 + Width)
      return fail();
    Value = 0;
    for (size_t I = 1; I <= Width; ++I)
      Value = (Value << 8) | Input[I];
    Input = Input.subspan(1 + Width);
    return true;
  }

  bool readUint64(uint64_t &Value) {
    if (Input.empty())
      return fail();
    const uint8_t Tag = Input[0];
    if (Tag < 0x80) {
      Value = Tag;
      Input = Input.subspan(1);
      return true;
    }
    if (Tag < 0xcc || Tag > 0xcf)
      return fail();
    return readBigEndian(size_t{1} << (Tag - 0xcc), Value);
  }

  std::span<const uint8_t> Input;
  bool Failed = false;
};

} // namespace

size_t packForward(std::span<uint8_t> Out, const ForwardView &View) {
  SpanWriter Writer(Out);
  SpanPacker Packer(Writer);
  packHeader(Packer, ForwardType, ForwardFieldCount);
  Packer.pack(View.Service);
  Packer.pack(View.Bucket);
  Packer.pack(View.Caller);
  Packer.pack(View.Ingress);
  Packer.pack(View.Hops);
  packPayload(Packer, View.Payload);
  return Writer.size();
}

size_t packReply(std::span<uint8_t> Out, const ReplyView &View) {
  SpanWriter Writer(Out);
  SpanPacker Packer(Writer);
  packHeader(Packer, ReplyType, ReplyFieldCount);
  Packer.pack(View.Caller);
  Packer.pack(View.ServiceAddress);
  packPayload(Packer, View.Payload);
  return Writer.size();
}

std::optional<ForwardView> unpackForward(std::span<const uint8_t> Packed) {
  MsgpackReader Reader(Packed);
  ForwardView View;
  if (Reader.readHeader(ForwardType, ForwardFieldCount) &&
      Reader.readUnsigned(View.Service.Value) &&
      Reader.readUnsigned(View.Bucket) && Reader.readAddress(View.Caller) &&
      Reader.readAddress(View.Ingress) && Reader.readUnsigned(View.Hops) &&
      Reader.readBinary(View.Payload) && Reader.atEnd())
    return View;
  return std::nullopt;
}

std::optional<ReplyView> unpackReply(std::span<const uint8_t> Packed) {
  MsgpackReader Reader(Packed);
  ReplyView View;
  if (Reader.readHeader(ReplyType, ReplyFieldCount) &&
      Reader.readAddress(View.Caller) &&
      Reader.readAddress(View.ServiceAddress) &&
      Reader.readBinary(View.Payload) && Reader.atEnd())
    return View;
  return std::nullopt;
}

} // namespace burdockstream::messages
