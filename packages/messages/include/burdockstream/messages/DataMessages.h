// Allocation-free encoding and decoding of the two message types on the data
// path. The encoded bytes are identical to those that packBody writes for
// Forward and Reply.
#ifndef BURDOCKSTREAM_MESSAGES_DATAMESSAGES_H
#define BURDOCKSTREAM_MESSAGES_DATAMESSAGES_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace burdockstream::messages {

// A Forward that refers to its payload instead of owning it. The buffer must
// outlive the view.
struct ForwardView {
  base::ServiceId Service;
  base::BucketIndex Bucket = 0;
  base::SocketAddress Caller;
  base::SocketAddress Ingress;
  uint8_t Hops = 0;
  std::span<const uint8_t> Payload;
};

// A Reply that refers to its payload instead of owning it. The buffer must
// outlive the view.
struct ReplyView {
  base::SocketAddress Caller;
  base::SocketAddress ServiceAddress;
  std::span<const uint8_t> Payload;
};

// Type numbers on the wire: the indices of Forward and Reply in Message.
inline constexpr uint8_t ForwardType = 0;
inline constexpr uint8_t ReplyType = 1;

// Upper bound, in bytes, of what packForward and packReply add to the payload:
// the outer array and type (2), the inner array (1), integers (9 + 3 + 9 + 9 +
// 2) and the payload's length (5).
inline constexpr size_t MaxDataOverhead = 40;

// Writes the message to the start of Out. Returns its size in bytes, or zero if
// Out is too small. The payload must not overlap Out. Thread safety: any
// thread.
size_t packForward(std::span<uint8_t> Out, const ForwardView &View);
size_t packReply(std::span<uint8_t> Out, const ReplyView &View);

// Decodes a packed message; the payload points into Packed. Returns nullopt if
// Packed is not exactly one message of that type. Thread safety: any thread.
std::optional<ForwardView> unpackForward(std::span<const uint8_t> Packed);
std::optional<ReplyView> unpackReply(std::span<const uint8_t> Packed);

} // namespace burdockstream::messages

#endif
