// Tests the format of the structured log, its rate limit and non-blocking
// writes.
#include "burdockstream/flowd/EventLog.h"
#include "burdockstream/base/JsonText.h"

#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <unistd.h>

namespace burdockstream::flowd {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EventLogTest : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_EQ(::pipe(Pipe), 0); }
  void TearDown() override {
    ::close(Pipe[0]);
    ::close(Pipe[1]);
  }

  // Reads up to Bytes bytes from the pipe.
  std::string readPipe(size_t Bytes) {
    std::string Text(Bytes, '\0');
    const ssize_t Size = ::read(Pipe[0], Text.data(), Bytes);
    Text.resize(Size > 0 ? static_cast<size_t>(Size) : 0);
    return Text;
  }

  static base::Now at(base::Duration Time) {
    return {base::TimePoint(Time), {Time / milliseconds(1)}};
  }

  int Pipe[2] = {-1, -1};
};

TEST_F(EventLogTest, WritesOneObjectPerLine) {
  EventLog Log(Pipe[1], "side-1", LogLimits());
  Json::Value Fields;
  Fields["role"] = "agent";
  Log.write(LogPriority::Process, "started", Fields, at(seconds(1)));
  const std::string Line = readPipe(4096);
  const auto Document = base::JsonDocument::parse(Line, "line");
  ASSERT_TRUE(Document.has_value()) << Line;
  EXPECT_EQ(Document.value().root()["event"].asString(), "started");
  EXPECT_EQ(Document.value().root()["role"].asString(), "agent");
  EXPECT_EQ(Document.value().root()["process"].asString(), "side-1");
  EXPECT_EQ(Document.value().root()["time_ms"].asInt64(), 1000);
}

// Guards against a data path that blocks on the reader of the log: with a full
// pipe, each call must return, and lines must not be interleaved once the
// reader continues.
TEST_F(EventLogTest, AFullPipeNeverBlocksAndLinesStayWhole) {
  EventLog Log(Pipe[1], "side-1", LogLimits());
  Json::Value Fields;
  Fields["filler"] = std::string(900, 'x');
  for (int I = 0; I < 200; ++I) // more than twice the capacity of a pipe
    Log.write(LogPriority::Process, "event", Fields, at(seconds(1)));
  EXPECT_GT(Log.dropped(), 0U);
  std::string Text = readPipe(1 << 20);
  Log.write(LogPriority::Process, "last", Fields, at(seconds(2)));
  Log.write(LogPriority::Process, "last", Fields, at(seconds(2)));
  Text += readPipe(1 << 20);
  std::istringstream Lines(Text);
  int Count = 0;
  for (std::string Line; std::getline(Lines, Line); ++Count)
    ASSERT_TRUE(base::JsonDocument::parse(Line, "line").has_value()) << Line;
  EXPECT_GT(Count, 50);
}

// Guards against a log rate that grows with the load.
TEST_F(EventLogTest, FlowLinesAreRateLimitedAndDropsAreCounted) {
  LogLimits Limits;
  EventLog Log(Pipe[1], "side-1", Limits);
  int Admitted = 0;
  for (int I = 0; I < 10'000; ++I) {
    const base::Now Now = at(seconds(10) + milliseconds(I));
    if (!Log.admitsFlowLine(Now))
      continue;
    Log.write(LogPriority::Flow, "placed", Json::Value(), Now);
    readPipe(4096);
    ++Admitted;
  }
  EXPECT_LE(Admitted, Limits.FlowBurst + 10 * Limits.FlowLinesPerSecond + 1);
  EXPECT_EQ(Log.dropped(), 10'000U - static_cast<unsigned>(Admitted));
  Log.reportDroppedLines(at(seconds(30)));
  EXPECT_NE(readPipe(4096).find("log_lines_dropped"), std::string::npos);
}

} // namespace
} // namespace burdockstream::flowd
