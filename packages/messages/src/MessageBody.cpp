#include "burdockstream/messages/MessageBody.h"

#include <algorithm>

namespace burdockstream::messages {

namespace {

// Maximum nesting depth; the most deeply nested message, BucketTransfer, has 7
// levels.
constexpr size_t MaxDepth = 16;

// msgpack allocates memory for an array's elements as soon as it has read the
// length, so the length is bounded separately from the size of the input. The
// longest list in any message is the subscriptions or records of one bucket.
constexpr size_t MaxArrayLength = 65'536;

} // namespace

Bytes packBody(const Message &Body) {
  Bytes Out;
  BytesWriter Writer(Out);
  msgpack::packer<BytesWriter>(Writer).pack(Body);
  return Out;
}

base::Result<Message> unpackBody(std::span<const uint8_t> Packed) {
  const auto Corrupt = [](const char *Text) {
    return base::makeError(base::ErrorKind::Corrupt, Text);
  };
  if (Packed.empty() || Packed.size() > MaxBodyBytes)
    return Corrupt("message body is empty or too large");
  const size_t Size = Packed.size();
  const msgpack::unpack_limit Limit(std::min(Size, MaxArrayLength), 0, Size,
                                    Size, 0, MaxDepth);
  // msgpack reports malformed input only by exceptions.
  try {
    size_t Offset = 0;
    const auto Handle =
        msgpack::unpack(reinterpret_cast<const char *>(Packed.data()), Size,
                        Offset, nullptr, nullptr, Limit);
    if (Offset != Size)
      return Corrupt("message body has trailing bytes");
    return Handle->as<Message>();
  } catch (const std::exception &Failure) {
    return Corrupt(Failure.what());
  }
}

} // namespace burdockstream::messages
