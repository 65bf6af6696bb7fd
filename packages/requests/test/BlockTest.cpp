#include "BodyStore.h"
#include "CoreHarness.h"

#include <gtest/gtest.h>

namespace burdockstream::requests {
namespace {

std::string body(size_t Size, char First) {
  std::string Text(Size, 'x');
  Text[0] = First;
  return Text;
}

CoapMessage blockRequest(CoreHarness &Agent, uint32_t Number) {
  CoapMessage Request = Agent.request(Code::Get, "/big");
  Request.Block2 = coap::Block{Number, false, 6};
  return Request;
}

// Guards against requesting each block from the endpoint, against wrong slices,
// and against a missing last block.
TEST(BlockTest, TheEndpointIsAskedOnceForAllBlocks) {
  CoreHarness Agent;
  std::string Body = body(2500, 'a');
  Body[1024] = 'b';
  Body[2048] = 'c';
  Agent.fromCaller(Agent.request(Code::Get, "/big"));
  Agent.answer(Agent.toEndpoint().at(0), Body);
  for (const uint32_t Number : {1U, 2U})
    Agent.fromCaller(blockRequest(Agent, Number), Number); // any caller
  EXPECT_TRUE(Agent.toEndpoint().empty());
  const auto Parts = Agent.toCaller();
  ASSERT_EQ(Parts.size(), 3U);
  std::string Joined;
  for (uint32_t Number = 0; Number < 3; ++Number) {
    EXPECT_EQ(Parts[Number].Block2, (coap::Block{Number, Number < 2, 6}));
    EXPECT_EQ(Parts[Number].ETag, Parts[0].ETag);
    Joined += text(Parts[Number]);
  }
  EXPECT_EQ(Joined, Body);
  EXPECT_EQ(Parts[0].ETag.size(), 8U);
}

// Guards against a transfer that mixes blocks of two versions of a body.
TEST(BlockTest, ATransferContinuesWithItsOwnBody) {
  CoreHarness Agent;
  Agent.fromCaller(Agent.request(Code::Get, "/big"), 0);
  Agent.answer(Agent.toEndpoint().at(0), body(2000, 'a') + "old");
  Agent.fromCaller(Agent.request(Code::Get, "/big"), 1);
  Agent.answer(Agent.toEndpoint().at(0), body(2000, 'b') + "new");
  const auto First = Agent.toCaller();
  EXPECT_NE(First[0].ETag, First[1].ETag);
  Agent.fromCaller(blockRequest(Agent, 1), 0);
  Agent.fromCaller(blockRequest(Agent, 1), 1);
  const auto Second = Agent.toCaller();
  EXPECT_TRUE(text(Second[0]).ends_with("old"));
  EXPECT_EQ(Second[0].ETag, First[0].ETag);
  EXPECT_TRUE(text(Second[1]).ends_with("new"));
}

// Guards against keeping bodies indefinitely, and against failing the request
// of a slow caller whose body has expired.
TEST(BlockTest, ALateBlockIsFetchedAgain) {
  CoreHarness Agent;
  Agent.fromCaller(Agent.request(Code::Get, "/big"));
  Agent.answer(Agent.toEndpoint().at(0), body(2000, 'a'));
  const Bytes ETag = Agent.toCaller().at(0).ETag;
  Agent.advance(60s);
  Agent.fromCaller(blockRequest(Agent, 1));
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 1U);
  EXPECT_FALSE(Passed[0].Block2);
  Agent.answer(Passed[0], body(2000, 'a'));
  const auto Part = Agent.toCaller();
  EXPECT_EQ(Part.at(0).Block2, (coap::Block{1, false, 6}));
  EXPECT_EQ(Part.at(0).ETag, ETag); // depends only on the body
}

// Guards against running a non-idempotent request again for its later blocks.
TEST(BlockTest, LaterBlocksOfAResultComeFromItsRecord) {
  CoreHarness Agent;
  CoapMessage Post = Agent.post("r1");
  Agent.fromCaller(Post);
  Agent.answer(Agent.toEndpoint().at(0), body(1500, 'a'), Code::Changed);
  Post.Block2 = coap::Block{1, false, 6};
  Post.MessageId += 100;
  Agent.fromCaller(Post);
  EXPECT_TRUE(Agent.toEndpoint().empty());
  EXPECT_EQ(Agent.toCaller().back().Payload.size(), 476U);
}

// Guards, for every block size, against blocks that do not add up to the body.
TEST(BlockTest, SlicesAddUpToTheBody) {
  CoapMessage Full;
  Full.MessageCode = Code::Content;
  Full.Payload.resize(3000);
  for (size_t Index = 0; Index < Full.Payload.size(); ++Index)
    Full.Payload[Index] = static_cast<uint8_t>(Index * 7);
  for (uint8_t Exponent = 0; Exponent <= 6; ++Exponent) {
    Bytes Joined;
    for (uint32_t Number = 0, More = 1; More != 0; ++Number) {
      const auto Part = sliceBody(Full, coap::Block{Number, false, Exponent});
      Joined.insert(Joined.end(), Part.Payload.begin(), Part.Payload.end());
      More = Part.Block2->More ? 1 : 0;
    }
    EXPECT_EQ(Joined, Full.Payload);
  }
  EXPECT_EQ(sliceBody(Full, coap::Block{3, false, 6}).MessageCode,
            Code::BadRequest);
}

} // namespace
} // namespace burdockstream::requests
