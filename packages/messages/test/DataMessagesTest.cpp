#include "burdockstream/messages/MessageBody.h"
#include "burdockstream/messages/MessageCodec.h"

#include "RandomMessages.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace {
std::atomic<uint64_t> Allocations{0};
} // namespace

// Replaces the global allocation functions to count every heap allocation of
// the test program.
void *operator new(size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size == 0 ? 1 : Size))
    return Memory;
  std::abort();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, size_t) noexcept { std::free(Memory); }

namespace burdockstream::messages {
namespace {

const MessageKeys Keys{{1, {1, 2, 3}}, std::nullopt};

template <typename T> T randomBody() {
  base::RandomSource Source(*rc::gen::arbitrary<uint64_t>());
  return std::get<T>(testing::randomMessage(
      Source, std::is_same_v<T, Forward> ? ForwardType : ReplyType));
}

ForwardView toView(const Forward &M) {
  return {M.Service, M.Bucket, M.Caller, M.Ingress, M.Hops, M.Payload};
}
ReplyView toView(const Reply &M) {
  return {M.Caller, M.ServiceAddress, M.Payload};
}
Forward toMessage(const ForwardView &V) {
  return {V.Service, V.Bucket, V.Caller,
          V.Ingress, V.Hops,   {V.Payload.begin(), V.Payload.end()}};
}
Reply toMessage(const ReplyView &V) {
  return {V.Caller, V.ServiceAddress, {V.Payload.begin(), V.Payload.end()}};
}

// Guards against a difference between the allocation-free and the generic codec
// in encoding or decoding.
RC_GTEST_PROP(DataMessagesTest, ForwardMatchesTheGenericCodec, ()) {
  const auto Body = randomBody<Forward>();
  MessageCodec GenericCodec(base::DaemonId{1}, Keys);
  MessageCodec DataPathCodec(base::DaemonId{1}, Keys);
  const Bytes Expected = GenericCodec.encode(Body);
  Bytes Actual(FrameBytes + MaxDataOverhead + Body.Payload.size());
  Actual.resize(DataPathCodec.encodeForward(Actual, toView(Body)));
  RC_ASSERT(Actual == Expected);
  MessageCodec In(base::DaemonId{2}, Keys);
  const auto View = In.decodeForwardView(Expected);
  RC_ASSERT(View.has_value());
  RC_ASSERT(packBody(toMessage(View->Body)) == packBody(Body));
  RC_ASSERT(!unpackReply(packBody(Body)));
}

RC_GTEST_PROP(DataMessagesTest, ReplyMatchesTheGenericCodec, ()) {
  const auto Body = randomBody<Reply>();
  MessageCodec GenericCodec(base::DaemonId{1}, Keys);
  MessageCodec DataPathCodec(base::DaemonId{1}, Keys);
  const Bytes Expected = GenericCodec.encode(Body);
  Bytes Actual(FrameBytes + MaxDataOverhead + Body.Payload.size());
  Actual.resize(DataPathCodec.encodeReply(Actual, toView(Body)));
  RC_ASSERT(Actual == Expected);
  MessageCodec In(base::DaemonId{2}, Keys);
  const auto View = In.decodeReplyView(Expected);
  RC_ASSERT(View.has_value());
  RC_ASSERT(packBody(toMessage(View->Body)) == packBody(Body));
  RC_ASSERT(!unpackForward(packBody(Body)));
}

// Guards against an overflow of the output buffer and against using up a
// sequence number for a message that was not written.
RC_GTEST_PROP(DataMessagesTest, SmallBuffersAreRefused, ()) {
  const auto Body = randomBody<Forward>();
  MessageCodec Codec(base::DaemonId{1}, Keys);
  const size_t Needed = FrameBytes + packBody(Body).size();
  Bytes Small(*rc::gen::inRange<size_t>(0, Needed));
  RC_ASSERT(Codec.encodeForward(Small, toView(Body)) == 0U);
  Bytes Exact(Needed);
  RC_ASSERT(Codec.encodeForward(Exact, toView(Body)) == Needed);
  MessageCodec In(base::DaemonId{2}, Keys);
  RC_ASSERT(In.decodeForwardView(Exact)->Sequence == 1U);
}

// Guards against heap allocation per packet on the data path.
TEST(DataMessagesTest, DataPathDoesNotAllocate) {
  MessageCodec Out(base::DaemonId{1}, Keys);
  MessageCodec In(base::DaemonId{2}, Keys);
  const Bytes Payload(1200, 7);
  Bytes Buffer(2048);
  const ForwardView Request{{5}, 6, {7, 8}, {9, 10}, 1, Payload};
  const ReplyView Response{{7, 8}, {9, 10}, Payload};
  size_t Size = Out.encodeForward(Buffer, Request);
  ASSERT_TRUE(In.decodeForwardView({Buffer.data(), Size}));
  const uint64_t Before = Allocations;
  size_t AcceptedCount = 0;
  for (int I = 0; I < 1000; ++I) {
    Size = Out.encodeForward(Buffer, Request);
    AcceptedCount += In.decodeForwardView({Buffer.data(), Size}) ? 1 : 0;
    AcceptedCount +=
        In.decodeForwardView({Buffer.data(), Size}) ? 1000 : 0; // replay
    Size = Out.encodeReply(Buffer, Response);
    AcceptedCount += In.decodeReplyView({Buffer.data(), Size}) ? 1 : 0;
    Buffer[30] ^= 1;
    AcceptedCount +=
        In.decodeReplyView({Buffer.data(), Size}) ? 1000 : 0; // bad MAC
  }
  EXPECT_EQ(Allocations, Before);
  EXPECT_EQ(AcceptedCount, 2000U);
}

} // namespace
} // namespace burdockstream::messages
