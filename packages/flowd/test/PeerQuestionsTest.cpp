// Which peers are asked, and when.
#include "burdockstream/flowd/PeerQuestions.h"

#include <gtest/gtest.h>

namespace burdockstream::flowd {
namespace {

using std::chrono::milliseconds;

constexpr base::SocketAddress peer(uint16_t Number) {
  return {0x0A010000U + Number, 7000};
}

const base::TimePoint Start{std::chrono::seconds(100)};

// Guards against a fleet in which each balancer asks every other one.
// Pattern: a balancer of 300 machines hears of 91 others, which all answer.
TEST(PeerQuestionsTest, AFewPeersThatKnowAgentsAreEnough) {
  PeerQuestions Questions;
  int Asked = 0;
  for (uint16_t Number = 1; Number <= 91; ++Number)
    if (Questions.meet(peer(Number))) {
      ++Asked;
      Questions.noteAnswer(210);
    }
  EXPECT_EQ(Asked, 2);
}

// Guards against a reset by a balancer that has asked only peers that had just
// started themselves.
TEST(PeerQuestionsTest, PeersThatKnowNothingDoNotCount) {
  PeerQuestions Questions;
  for (uint16_t Number = 1; Number <= 5; ++Number) {
    EXPECT_TRUE(Questions.meet(peer(Number)));
    Questions.noteAnswer(0);
  }
  EXPECT_FALSE(Questions.meet(peer(1))) << "nobody is asked twice";
}

// Guards against a state from a peer for each change of configuration, although
// the balancer reads the store itself.
TEST(PeerQuestionsTest, OneWhoseOwnWatchBringsTheRoutesAsksNobody) {
  PeerQuestions Questions;
  Questions.noteNewerRoutes(8, peer(1), Start);
  EXPECT_FALSE(Questions.dueForRoutes(7, Start));
  EXPECT_FALSE(Questions.dueForRoutes(8, Start + OwnWatchTime));
}

// Guards against a balancer that is cut off from the store and stays with old
// routes: agents send its openings back a second later.
TEST(PeerQuestionsTest, OneThatIsCutOffAsksWithinASecond) {
  PeerQuestions Questions;
  Questions.noteNewerRoutes(8, peer(1), Start);
  Questions.noteNewerRoutes(8, peer(2), Start + milliseconds(100));
  EXPECT_EQ(Questions.dueForRoutes(7, Start + milliseconds(900)), peer(1));
  EXPECT_FALSE(Questions.dueForRoutes(7, Start + milliseconds(950)));
  Questions.forgetNewerRoutes();
  Questions.noteNewerRoutes(8, peer(2), Start + milliseconds(1000));
  EXPECT_EQ(Questions.dueForRoutes(7, Start + milliseconds(1900)), peer(2));
}

} // namespace
} // namespace burdockstream::flowd
