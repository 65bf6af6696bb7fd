#include "burdockstream/coap/CoapMessage.h"

#include <gtest/gtest.h>

namespace burdockstream::coap {
namespace {

// Guards against a header or option layout that other CoAP implementations
// cannot read. The expected bytes are derived by hand from RFC 7252.
TEST(CoapMessageTest, ParsesAndSerializesTheLayoutOfRfc7252) {
  const Bytes Datagram = {0x42, 0x01, 0x12, 0x34, 0xaa, 0xbb, 0x60,
                          0x51, 'a',  0x02, 'b',  'c',  0x43, 'x',
                          '=',  '1',  0x81, 0x0e, 0xff, 'p'};
  const auto Message = parseMessage(Datagram);
  ASSERT_TRUE(Message.has_value());
  EXPECT_EQ(Message.value().Type, MessageType::Confirmable);
  EXPECT_EQ(Message.value().MessageCode, Code::Get);
  EXPECT_EQ(Message.value().MessageId, 0x1234);
  EXPECT_EQ(Message.value().Token, (Bytes{0xaa, 0xbb}));
  EXPECT_EQ(Message.value().Observe, 0U);
  EXPECT_EQ(joinPath(Message.value().Path), "/a/bc");
  EXPECT_EQ(queryValue(Message.value(), "x"), "1");
  EXPECT_EQ(Message.value().Block2, (Block{0, true, 6}));
  EXPECT_EQ(Message.value().Payload, (Bytes{'p'}));
  EXPECT_EQ(serializeMessage(Message.value()).value(), Datagram);
}

// Guards against two different paths or queries with the same text, which would
// share a cache key.
TEST(CoapMessageTest, PathAndQueryTextsAreUnambiguous) {
  EXPECT_NE(joinPath({"a/b"}), joinPath({"a", "b"}));
  EXPECT_NE(joinQuery({"a&b"}), joinQuery({"a", "b"}));
  EXPECT_EQ(splitPath(joinPath({"a/b", "%2F", ""})),
            (std::vector<std::string>{"a/b", "%2F", ""}));
  EXPECT_EQ(splitQuery(joinQuery({"a&b=%", "c"})),
            (std::vector<std::string>{"a&b=%", "c"}));
}

// Guards against silently ignoring an option that the sender marked critical.
TEST(CoapMessageTest, FindsAnUnsupportedCriticalOption) {
  CoapMessage Message;
  Message.MessageCode = Code::Get;
  EXPECT_FALSE(unsupportedCriticalOption(Message));
  Message.OtherOptions = {{17, {0}}, {60, {1}}};
  EXPECT_FALSE(unsupportedCriticalOption(Message));
  Message.OtherOptions.push_back({2049, {1}});
  EXPECT_EQ(unsupportedCriticalOption(Message), 2049);
}

// Guards against sending messages that receivers reject because a field exceeds
// the limits of the protocol.
TEST(CoapMessageTest, RejectsFieldsBeyondTheLimits) {
  CoapMessage Message;
  Message.MessageCode = Code::Get;
  Message.Token = Bytes(9);
  EXPECT_TRUE(serializeMessage(Message).has_error());
  Message.Token.clear();
  Message.Observe = 1U << 24;
  EXPECT_TRUE(serializeMessage(Message).has_error());
  Message.Observe.reset();
  Message.Path = {std::string(256, 'x')};
  EXPECT_EQ(serializeMessage(Message).error().Kind,
            base::ErrorKind::LimitExceeded);
  Message.Path = {};
  Message.Payload = Bytes(70'000);
  EXPECT_EQ(serializeMessage(Message).error().Kind,
            base::ErrorKind::LimitExceeded);
}

// Guards against failure to encode or decode a body of MaxBodySize.
TEST(CoapMessageTest, RoundTripsTheLargestBody) {
  CoapMessage Message;
  Message.MessageCode = Code::Content;
  Message.Payload = Bytes(MaxBodySize, 7);
  const auto Datagram = serializeMessage(Message);
  ASSERT_TRUE(Datagram.has_value());
  EXPECT_EQ(parseMessage(Datagram.value()).value(), Message);
}

} // namespace
} // namespace burdockstream::coap
