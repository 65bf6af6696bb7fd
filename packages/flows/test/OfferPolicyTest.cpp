// Which routes repeat offers, which offers may be held, and when rounds start.
#include "burdockstream/flows/OfferPolicy.h"

#include <gtest/gtest.h>

namespace burdockstream::flows {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration Attempt = milliseconds(1400);
constexpr base::Duration Timeout = milliseconds(4000);

// Guards against a change for routes and deployments that do not call for
// repeated offers.
TEST(OfferPolicyTest, OnlyLongTimeoutsCallForRepeatedOffers) {
  const auto Route = [](int TimeoutMs) {
    return RequestTime{milliseconds(300), milliseconds(TimeoutMs)};
  };
  EXPECT_TRUE(repeatsOffers(Attempt, Route(2800)));
  EXPECT_FALSE(repeatsOffers(Attempt, Route(2799)));
  EXPECT_FALSE(repeatsOffers(Attempt, std::nullopt));
  EXPECT_FALSE(repeatsOffers(base::Duration(0), Route(4000)));
}

// Guards against a wait at a busy target while others are free, and against
// further rounds without any wait.
TEST(OfferPolicyTest, OnlyTheLastOfferOfTheFirstRoundMayBeHeld) {
  EXPECT_FALSE(mayBeHeld(0, 1, 48));
  EXPECT_FALSE(mayBeHeld(0, 3, 2));
  EXPECT_TRUE(mayBeHeld(0, 3, 1)) << "no other target is left";
  EXPECT_TRUE(mayBeHeld(0, MaxOffers, 48));
  EXPECT_TRUE(mayBeHeld(1, 1, 48));
}

struct RoundCase {
  int SinceFirstCopyMs;
  uint8_t FurtherRounds;
  std::optional<base::Duration> ExpectedWait;
  RoundStep Expected;
};

// Guards against offers in a tight loop, and against a round that outlasts the
// client's attempt or cannot serve it within its timeout.
TEST(OfferPolicyTest, RoundsStartAtIntervalsUntilTheAttemptEnds) {
  const RoundCase Cases[] = {
      {1, 0, {}, RoundStep::Wait},
      {150, 0, {}, RoundStep::Start},
      {299, 1, {}, RoundStep::Wait},
      {300, 1, {}, RoundStep::Start},
      {1249, 7, {}, RoundStep::Start},
      {1250, 7, {}, RoundStep::Refuse},
      {1249, MaxFurtherRounds, {}, RoundStep::Refuse},
      {150, 0, milliseconds(3849), RoundStep::Start},
      {150, 0, milliseconds(3850), RoundStep::Refuse},
      {1, 0, milliseconds(4000), RoundStep::Refuse},
  };
  for (const RoundCase &Each : Cases)
    EXPECT_EQ(nextRound({milliseconds(Each.SinceFirstCopyMs),
                         Each.FurtherRounds, Each.ExpectedWait},
                        Attempt, Timeout),
              Each.Expected)
        << Each.SinceFirstCopyMs << " ms, " << int(Each.FurtherRounds);
}

// Guards against a first round for an opening that cannot be served in time.
TEST(OfferPolicyTest, ComparesTheExpectedWaitWithTheTimeout) {
  EXPECT_FALSE(expiresBeforeService({milliseconds(0), 0, {}}, Timeout));
  EXPECT_FALSE(expiresBeforeService({milliseconds(0), 0, Attempt}, Timeout));
  EXPECT_TRUE(expiresBeforeService({milliseconds(2600), 0, Attempt}, Timeout));
}

} // namespace
} // namespace burdockstream::flows
