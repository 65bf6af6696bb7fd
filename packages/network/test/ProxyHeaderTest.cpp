#include "burdockstream/network/ProxyHeader.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace burdockstream::network {
namespace {

using Bytes = std::vector<uint8_t>;

ProxyHeader anyHeader() {
  const auto Address = [] {
    return base::SocketAddress{*rc::gen::arbitrary<uint32_t>(),
                               *rc::gen::arbitrary<uint16_t>()};
  };
  return {Address(), Address()};
}

Bytes datagramOf(const ProxyHeader &Header, const Bytes &Payload) {
  Bytes Datagram(ProxyHeaderBytes);
  writeProxyHeader(Datagram, Header);
  Datagram.insert(Datagram.end(), Payload.begin(), Payload.end());
  return Datagram;
}

// Guards against a deviation from the layout in the PROXY protocol
// specification.
TEST(ProxyHeaderTest, MatchesTheSpecification) {
  const Bytes Expected{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a,
                       0x51, 0x55, 0x49, 0x54, 0x0a, 0x21, 0x12,
                       0x00, 0x0c, 10,   0,    0,    1,    192,
                       168,  2,    3,    0x16, 0x33, 0x00, 0x50};
  EXPECT_EQ(datagramOf({{0x0a000001, 5683}, {0xc0a80203, 80}}, {}), Expected);
}

RC_GTEST_PROP(ProxyHeaderTest, RoundTrips, (const Bytes &Payload)) {
  const ProxyHeader Header = anyHeader();
  const Bytes Datagram = datagramOf(Header, Payload);
  RC_ASSERT(hasProxySignature(Datagram));
  const auto Parsed = parseProxyHeader(Datagram);
  RC_ASSERT(Parsed.has_value());
  RC_ASSERT(Parsed->Header == Header);
  RC_ASSERT(Bytes(Parsed->Payload.begin(), Parsed->Payload.end()) == Payload);
}

// Guards against accepting other versions, commands, address families and
// transports, whose addresses are at other offsets.
RC_GTEST_PROP(ProxyHeaderTest, RefusesEveryOtherForm, ()) {
  Bytes Datagram = datagramOf(anyHeader(), {1, 2, 3});
  const auto Index = *rc::gen::inRange<size_t>(0, 14);
  Datagram[Index] ^= *rc::gen::inRange<uint8_t>(1, 255);
  RC_ASSERT(!parseProxyHeader(Datagram));
}

RC_GTEST_PROP(ProxyHeaderTest, RefusesTruncation, ()) {
  Bytes Datagram = datagramOf(anyHeader(), {});
  Datagram.resize(*rc::gen::inRange<size_t>(0, ProxyHeaderBytes));
  RC_ASSERT(!parseProxyHeader(Datagram));
}

// Guards against trusting a wrong length field, and against treating the
// optional fields of the header as payload.
RC_GTEST_PROP(ProxyHeaderTest, SkipsOptionalFields, (const Bytes &Optional)) {
  const ProxyHeader Header = anyHeader();
  Bytes Datagram = datagramOf(Header, Optional);
  const size_t Length = 12 + Optional.size();
  Datagram[14] = static_cast<uint8_t>(Length >> 8);
  Datagram[15] = static_cast<uint8_t>(Length);
  Datagram.push_back(42);
  const auto Parsed = parseProxyHeader(Datagram);
  RC_ASSERT(Parsed.has_value());
  RC_ASSERT(Parsed->Header == Header);
  RC_ASSERT(Parsed->Payload.size() == 1U && Parsed->Payload[0] == 42);
  Datagram[14] = 0xff;
  RC_ASSERT(!parseProxyHeader(Datagram));
  Datagram[14] = 0;
  Datagram[15] = 11;
  RC_ASSERT(!parseProxyHeader(Datagram));
}

} // namespace
} // namespace burdockstream::network
