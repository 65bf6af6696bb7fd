#include "burdockstream/messages/Messages.h"

#include <gtest/gtest.h>

namespace burdockstream::messages {
namespace {

// Guards against a field that is missing from the struct's
// MSGPACK_DEFINE_ARRAY.
TEST(PackTest, ForwardKeepsEveryField) {
  const Forward Sent{base::ServiceId{7}, 9, {0x0a000001, 5683},
                     {0x0a000002, 7000}, 1, {1, 2, 3}};
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Sent);
  const auto Handle = msgpack::unpack(Buffer.data(), Buffer.size());
  const auto Received = Handle->as<Forward>();
  EXPECT_EQ(Received.Service, Sent.Service);
  EXPECT_EQ(Received.Bucket, Sent.Bucket);
  EXPECT_EQ(Received.Caller, Sent.Caller);
  EXPECT_EQ(Received.Ingress, Sent.Ingress);
  EXPECT_EQ(Received.Hops, Sent.Hops);
  EXPECT_EQ(Received.Payload, Sent.Payload);
}

} // namespace
} // namespace burdockstream::messages
