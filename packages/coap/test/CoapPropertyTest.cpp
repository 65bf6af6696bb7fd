#include "burdockstream/coap/CoapMessage.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockstream::coap {
namespace {

rc::Gen<std::vector<std::string>> shortTexts() {
  return rc::gen::container<std::vector<std::string>>(
      rc::gen::resize(20, rc::gen::arbitrary<std::string>()));
}

// Generates a message within the limits of the protocol.
CoapMessage arbitraryMessage() {
  CoapMessage Message;
  Message.Type = static_cast<MessageType>(*rc::gen::inRange(0, 4));
  Message.MessageCode =
      static_cast<Code>(*rc::gen::element(1, 2, 3, 0x45, 0x84, 0xa3));
  Message.MessageId = *rc::gen::arbitrary<uint16_t>();
  Message.Token = *rc::gen::resize(8, rc::gen::arbitrary<Bytes>());
  if (Message.Token.size() > 8)
    Message.Token.resize(8);
  Message.Path = *shortTexts();
  Message.Query = *shortTexts();
  std::erase(Message.Query, "");
  if (*rc::gen::arbitrary<bool>())
    Message.Observe = *rc::gen::inRange<uint32_t>(0, 1U << 24);
  if (*rc::gen::arbitrary<bool>())
    Message.Block2 = Block{*rc::gen::inRange<uint32_t>(0, 1U << 20),
                           *rc::gen::arbitrary<bool>(),
                           static_cast<uint8_t>(*rc::gen::inRange(0, 7))};
  Message.ETag = Bytes(*rc::gen::inRange<size_t>(0, 9), 5);
  if (*rc::gen::arbitrary<bool>())
    Message.MaxAgeSeconds = *rc::gen::arbitrary<uint32_t>();
  if (*rc::gen::arbitrary<bool>())
    Message.ContentFormat = *rc::gen::arbitrary<uint16_t>();
  if (*rc::gen::arbitrary<bool>())
    Message.NotAfter =
        base::WallTime{*rc::gen::inRange<int64_t>(0, int64_t{1} << 56)};
  Message.Payload = *rc::gen::arbitrary<Bytes>();
  return Message;
}

// Guards against a field that is lost or changed by serializing and parsing.
TEST(CoapPropertyTest, EveryMessageRoundTrips) {
  EXPECT_TRUE(rc::check([] {
    const CoapMessage Message = arbitraryMessage();
    const auto Datagram = serializeMessage(Message);
    RC_ASSERT(Datagram.has_value());
    const auto Received = parseMessage(Datagram.value());
    RC_ASSERT(Received.has_value());
    RC_ASSERT(Received.value() == Message);
  }));
}

// Guards against a crash or an out-of-bounds read on malicious input. Every
// message that parses must also serialize, because an agent forwards requests.
TEST(CoapPropertyTest, ArbitraryBytesGiveAMessageOrATypedError) {
  EXPECT_TRUE(rc::check([](Bytes Datagram) {
    if (!Datagram.empty() && *rc::gen::arbitrary<bool>())
      Datagram[0] = static_cast<uint8_t>(0x40 | (Datagram[0] & 0x38));
    const auto Message = parseMessage(Datagram);
    if (Message.has_error())
      RC_ASSERT(Message.error().Kind == base::ErrorKind::Corrupt);
    else if (Message.value().MessageCode != Code::Empty)
      RC_ASSERT(serializeMessage(Message.value()).has_value());
  }));
}

// Guards against reading past the end of a truncated datagram.
TEST(CoapPropertyTest, TruncatedMessagesAreHandled) {
  EXPECT_TRUE(rc::check([] {
    const CoapMessage Message = arbitraryMessage();
    Bytes Datagram = serializeMessage(Message).value();
    const size_t Full = Datagram.size();
    Datagram.resize(*rc::gen::inRange<size_t>(0, Full));
    const auto Received = parseMessage(Datagram);
    if (Received.has_error())
      RC_ASSERT(Received.error().Kind == base::ErrorKind::Corrupt);
    else
      RC_ASSERT(!(Received.value() == Message));
  }));
}

// Guards against a crash or an out-of-bounds read on valid messages with a few
// changed bytes, which reach deeper into the option decoder than random bytes.
TEST(CoapPropertyTest, MutatedMessagesAreHandled) {
  EXPECT_TRUE(rc::check([] {
    Bytes Datagram = serializeMessage(arbitraryMessage()).value();
    for (int Count = *rc::gen::inRange(1, 4); Count > 0; --Count)
      Datagram[*rc::gen::inRange<size_t>(0, Datagram.size())] =
          *rc::gen::arbitrary<uint8_t>();
    const auto Message = parseMessage(Datagram);
    if (Message.has_error())
      RC_ASSERT(Message.error().Kind == base::ErrorKind::Corrupt);
    else if (Message.value().MessageCode != Code::Empty)
      RC_ASSERT(serializeMessage(Message.value()).has_value());
  }));
}

} // namespace
} // namespace burdockstream::coap
