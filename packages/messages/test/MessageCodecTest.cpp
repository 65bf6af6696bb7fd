#include "burdockstream/messages/MessageCodec.h"
#include "burdockstream/messages/MessageBody.h"

#include "RandomMessages.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace burdockstream::messages {
namespace {

const MessageKey FirstKey{1, {1, 2, 3, 4, 5, 6, 7, 8, 9}};
const MessageKey SecondKey{2, {9, 9, 9}};
constexpr base::DaemonId Sender{0x1122334455667788};
constexpr base::DaemonId Receiver{77};

MessageCodec makeCodec(base::DaemonId Self) {
  return {Self, MessageKeys{FirstKey, std::nullopt}};
}

Message arbitraryMessage() {
  base::RandomSource Source(*rc::gen::arbitrary<uint64_t>());
  const auto Type = *rc::gen::inRange<size_t>(0, std::variant_size_v<Message>);
  return testing::randomMessage(Source, Type);
}

// Guards against a field or type that is not encoded and decoded exactly.
TEST(MessageCodecTest, RoundTripsEveryType) {
  base::RandomSource Source(1);
  MessageCodec Out = makeCodec(Sender);
  MessageCodec In = makeCodec(Receiver);
  uint64_t Sequence = 0;
  for (size_t Type = 0; Type < std::variant_size_v<Message>; ++Type) {
    for (int Repeat = 0; Repeat < 200; ++Repeat) {
      const Message Sent = testing::randomMessage(Source, Type);
      const Bytes Datagram = Out.encode(Sent);
      ASSERT_EQ(MessageCodec::peekType(Datagram), Type);
      const auto Received = In.decode(Datagram);
      ASSERT_TRUE(Received.has_value()) << Received.error().Message;
      ASSERT_EQ(Received.value().Sender, Sender);
      ASSERT_EQ(Received.value().Sequence, ++Sequence);
      ASSERT_EQ(packBody(Received.value().Body), packBody(Sent));
    }
  }
}

// Guards against a part of the datagram that the MAC does not cover.
RC_GTEST_PROP(MessageCodecTest, AnyFlippedBitIsRejected, ()) {
  MessageCodec Out = makeCodec(Sender);
  MessageCodec In = makeCodec(Receiver);
  const Bytes Datagram = Out.encode(arbitraryMessage());
  const auto Bit = *rc::gen::inRange<size_t>(0, 8 * Datagram.size());
  Bytes Changed(Datagram.begin(), Datagram.end());
  Changed[Bit / 8] ^= static_cast<uint8_t>(1U << (Bit % 8));
  const auto Rejected = In.decode(Changed);
  RC_ASSERT(Rejected.has_error());
  RC_ASSERT(Rejected.error().Kind == base::ErrorKind::Corrupt);
  // The forged datagram must not mark the sequence number of the original as
  // seen.
  RC_ASSERT(In.decode(Datagram).has_value());
}

// Guards against reading past the end of a short datagram.
RC_GTEST_PROP(MessageCodecTest, AnyTruncationIsRejected, ()) {
  MessageCodec Out = makeCodec(Sender);
  MessageCodec In = makeCodec(Receiver);
  const Bytes Datagram = Out.encode(arbitraryMessage());
  const auto Size = *rc::gen::inRange<size_t>(0, Datagram.size());
  const std::span<const uint8_t> Short(Datagram.data(), Size);
  RC_ASSERT(In.decode(Short).has_error());
  RC_ASSERT(!In.decodeForwardView(Short));
  RC_ASSERT(!In.decodeReplyView(Short));
}

// Guards against a crash or a large allocation on an authenticated body that is
// not a valid message, which a faulty peer could send.
RC_GTEST_PROP(MessageCodecTest, MalformedBodiesGiveErrors,
              (const Bytes &Random)) {
  const auto Result = unpackBody(Random);
  RC_ASSERT(Result.has_value() ||
            Result.error().Kind == base::ErrorKind::Corrupt);
  Bytes Packed = packBody(arbitraryMessage());
  Packed[*rc::gen::inRange<size_t>(0, Packed.size())] ^=
      *rc::gen::inRange<uint8_t>(1, 255);
  static_cast<void>(unpackBody(Packed));
  static_cast<void>(unpackForward(Packed));
  static_cast<void>(unpackReply(Packed));
  Packed.push_back(0);
  RC_ASSERT(unpackBody(Packed).has_error());
}

// Guards against allocating memory for an array or binary length that exceeds
// the input.
TEST(MessageCodecTest, ClaimedLengthsAreBounded) {
  const Bytes HugeArray{0x92, 0x08, 0x92, 0xdd, 0xff, 0xff, 0xff, 0xff};
  const Bytes HugeBinary{0x92, 0x01, 0x93, 1, 1, 0xc6, 0xff, 0xff, 0xff, 0xff};
  for (const Bytes &Packed : {HugeArray, HugeBinary}) {
    const auto Result = unpackBody(Packed);
    ASSERT_TRUE(Result.has_error());
    EXPECT_EQ(Result.error().Kind, base::ErrorKind::Corrupt);
  }
  EXPECT_FALSE(unpackReply(HugeBinary));
}

// Guards against accepting an enumeration value that no code handles; a newer
// daemon may send one.
TEST(MessageCodecTest, UnknownEnumerationValueIsRejected) {
  Probe Sent;
  Sent.Self.State = MemberState::Dead;
  EXPECT_TRUE(unpackBody(packBody(Sent)).has_value());
  Sent.Self.State = static_cast<MemberState>(6);
  EXPECT_TRUE(unpackBody(packBody(Sent)).has_error());
}

TEST(MessageCodecTest, ReplayIsRejectedAndCounted) {
  MessageCodec Out = makeCodec(Sender);
  MessageCodec In = makeCodec(Receiver);
  const Bytes Datagram = Out.encode(Probe{});
  ASSERT_TRUE(In.decode(Datagram).has_value());
  const auto Replay = In.decode(Datagram);
  ASSERT_TRUE(Replay.has_error());
  EXPECT_EQ(Replay.error().Kind, base::ErrorKind::AlreadyExists);
  EXPECT_EQ(In.counters().Accepted, 1U);
  EXPECT_EQ(In.counters().Replayed, 1U);
}

// Guards against a key rotation that requires all daemons to switch at once.
TEST(MessageCodecTest, KeysRotateOneDaemonAtATime) {
  MessageCodec Old = makeCodec(Sender);
  MessageCodec Prepared(Receiver, {FirstKey, SecondKey});
  MessageCodec Switched(base::DaemonId{5}, {SecondKey, FirstKey});
  MessageCodec Done(base::DaemonId{6}, {SecondKey, std::nullopt});
  EXPECT_TRUE(Prepared.decode(Old.encode(Probe{})).has_value());
  EXPECT_TRUE(Prepared.decode(Switched.encode(Probe{})).has_value());
  EXPECT_TRUE(Switched.decode(Prepared.encode(Probe{})).has_value());
  EXPECT_TRUE(Done.decode(Switched.encode(Probe{})).has_value());
  EXPECT_TRUE(Done.decode(Old.encode(Probe{})).has_error());
  EXPECT_EQ(Done.counters().UnknownKey, 1U);
  Old.setKeys({SecondKey, FirstKey});
  EXPECT_TRUE(Done.decode(Old.encode(Probe{})).has_value());
}

// Guards against accepting a secret of the wrong length or with characters that
// are not hexadecimal digits.
TEST(MessageCodecTest, KeySecretsAreChecked) {
  const auto Key = parseMessageKey(3, "000102030405060708090a0b0c0d0eff");
  ASSERT_TRUE(Key.has_value());
  EXPECT_EQ(Key.value().Secret[15], 0xff);
  for (const char *Text : {"", "00", "000102030405060708090a0b0c0d0e0g",
                           "000102030405060708090a0b0c0d0e0f00"})
    EXPECT_TRUE(parseMessageKey(3, Text).has_error()) << Text;
}

} // namespace
} // namespace burdockstream::messages
