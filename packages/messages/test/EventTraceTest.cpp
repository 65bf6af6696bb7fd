#include "burdockstream/messages/EventTrace.h"
#include "burdockstream/messages/MessageBody.h"

#include "RandomMessages.h"

#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace burdockstream::messages {
namespace {

struct Sample {
  double Ratio = 0;
  float Share = 0;
  int64_t Offset = 0;
  std::map<int, std::string> Names;
  std::variant<int, std::string> Choice;
  MSGPACK_DEFINE_ARRAY(Ratio, Share, Offset, Names, Choice)
};

// Guards against a message type or field that a trace does not restore exactly.
RC_GTEST_PROP(EventTraceTest, EveryMessageRoundTripsThroughALine, ()) {
  base::RandomSource Source(*rc::gen::arbitrary<uint64_t>());
  const Message Sent = testing::randomMessage(
      Source, *rc::gen::inRange<size_t>(0, std::variant_size_v<Message>));
  const base::Now At{base::TimePoint(base::Duration(123'456'789)), {987}};
  const auto Data = jsonFromEvent(Sent);
  RC_ASSERT(Data.has_value());
  const std::string Line = formatTraceLine({At, "received", Data.value()});
  RC_ASSERT(Line.find('\n') == std::string::npos);
  const auto Read = parseTraceLine(Line);
  RC_ASSERT(Read.has_value());
  RC_ASSERT(Read.value().Name == "received");
  RC_ASSERT((Read.value().At.Monotonic == At.Monotonic));
  RC_ASSERT((Read.value().At.Wall == At.Wall));
  const auto Received = eventFromJson<Message>(Read.value().Data);
  RC_ASSERT(Received.has_value());
  RC_ASSERT(packBody(Received.value()) == packBody(Sent));
}

// Guards against loss of values that JSON numbers and strings cannot represent
// exactly.
TEST(EventTraceTest, KeepsFloatsMapsAndVariants) {
  const Sample Sent{0.1,
                    0.3F,
                    std::numeric_limits<int64_t>::min(),
                    {{-1, "a\n\xff"}, {2, ""}},
                    std::string("x")};
  const auto Line =
      formatTraceLine({{}, "sample", jsonFromEvent(Sent).value()});
  const auto Read = eventFromJson<Sample>(parseTraceLine(Line).value().Data);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read.value().Ratio, Sent.Ratio);
  EXPECT_EQ(Read.value().Share, Sent.Share);
  EXPECT_EQ(Read.value().Offset, Sent.Offset);
  EXPECT_EQ(Read.value().Names, Sent.Names);
  EXPECT_EQ(Read.value().Choice, Sent.Choice);
}

// Guards against a crash on a corrupt trace file.
TEST(EventTraceTest, CorruptLinesGiveErrors) {
  for (const char *Line : {"", "[]", "{", "{}",
                           "{\"at_us\":1,\"wall_ms\":2,\"name\":3,\"data\":0}"})
    EXPECT_TRUE(parseTraceLine(Line).has_error()) << Line;
  EXPECT_TRUE(parseTraceLine(std::string(100'000, '[')).has_error());
  for (const char *Data : {"{\"bin\":\"0\"}", "{\"bin\":\"zz\"}", "1.5",
                           "{\"float\":\"00\"}", "{\"map\":[[1]]}", "[0]"}) {
    const auto Line = std::string("{\"at_us\":1,\"wall_ms\":2,\"name\":\"n\","
                                  "\"data\":") +
                      Data + "}";
    const auto Read = parseTraceLine(Line);
    ASSERT_TRUE(Read.has_value()) << Line;
    EXPECT_TRUE(eventFromJson<Message>(Read.value().Data).has_error()) << Line;
  }
}

} // namespace
} // namespace burdockstream::messages
