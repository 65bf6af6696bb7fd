#include "ServiceSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockstream::requests {
namespace {

// Checks the first response, which is the one that the caller uses.
void checkAnswer(const ServiceSimulation &Service,
                 const CallerRequest &Request) {
  const std::string &Answer = Request.Answers.front();
  const bool Refusal = Answer == "5.03 not-run" || Answer == "5.03 shed";
  if (Request.RequestId.empty()) {
    RC_ASSERT(Refusal || Answer == "5.04 unknown" ||
              Answer == "2.05 " + coap::joinPath(Request.Message.Path));
    return;
  }
  const size_t Runs = Service.ExecutedRequestIds.count(Request.RequestId);
  if (Refusal)
    RC_ASSERT(Runs == 0U);
  else if (Answer != "5.04 unknown") {
    RC_ASSERT(Answer == "2.04 " + Request.RequestId);
    RC_ASSERT(Runs == 1U);
  }
}

// Checks that the caller saw every update once and in order. With several
// agents it skips outdated numbers, as RFC 7641 requires of clients.
void checkUpdates(const ServiceSimulation &Service,
                  const SimulatedCaller &Caller) {
  std::optional<uint32_t> Last;
  for (const uint32_t Number : Caller.Updates) {
    if (Last && Service.Options.Agents > 1 && Number <= *Last)
      continue;
    RC_ASSERT(!Last || Number == *Last + 1);
    Last = Number;
  }
  RC_ASSERT(Last == Service.LatestUpdate);
}

void checkInvariants(ServiceSimulation &Service) {
  Service.run();
  for (const std::string &RequestId : Service.ExecutedRequestIds)
    RC_ASSERT(Service.ExecutedRequestIds.count(RequestId) == 1U);
  for (const auto &Caller : Service.Callers) {
    for (const auto &[Token, Request] : Caller->Requests) {
      if (Service.Options.Agents == 1)
        RC_ASSERT(Request.Answers.size() <= 1U);
      if (Service.Options.LossPercent == 0 && !Request.Message.Observe)
        RC_ASSERT(!Request.Answers.empty());
      if (!Request.Answers.empty())
        checkAnswer(Service, Request);
    }
    if (Service.Counts[Counter::SubscriptionDropped] == 0 &&
        !Caller->Updates.empty())
      checkUpdates(Service, *Caller);
  }
}

SimulationOptions generateOptions(size_t Agents) {
  SimulationOptions Options;
  Options.Seed = *rc::gen::arbitrary<uint64_t>();
  Options.Agents = Agents;
  Options.LossPercent = *rc::gen::element(0U, 5U, 20U);
  Options.DuplicatePercent = *rc::gen::element(0U, 10U);
  Options.RestartPercent = *rc::gen::element(0U, 5U);
  Options.SuspendPercent = *rc::gen::element(0U, 5U);
  Options.ShedPercent = *rc::gen::element(0U, 5U);
  if (Agents > 1)
    Options.HandoverPercent = *rc::gen::element(0U, 10U, 40U);
  return Options;
}

// Guards against violations of the invariants under random loss, duplication,
// reordering, endpoint restarts and lease losses: every caller gets at most one
// final response, to its own request; non-idempotent requests run at most once;
// requests reported as "not-run" did not run; no update is lost, duplicated or
// reordered.
TEST(ScheduleTest, OneAgentKeepsTheInvariants) {
  EXPECT_TRUE(rc::check([] {
    ServiceSimulation Service(generateOptions(1));
    checkInvariants(Service);
  }));
}

// Guards against violations of the same invariants while buckets are handed
// over and requests run at other agents than their bucket's owner.
TEST(ScheduleTest, SeveralAgentsKeepTheInvariants) {
  EXPECT_TRUE(rc::check([] {
    ServiceSimulation Service(generateOptions(3));
    checkInvariants(Service);
  }));
}

// Guards against simulations that pass because they do not exercise the fault
// handling.
TEST(ScheduleTest, TheScheduleReachesTheInterestingPaths) {
  std::map<Counter, int> Counts;
  size_t Runs = 0;
  for (uint64_t Seed = 0; Seed < 8; ++Seed) {
    ServiceSimulation Service({Seed, 3, 10, 10, 5, 2, 20, 5});
    Service.run();
    Runs += Service.ExecutedRequestIds.size();
    for (const auto &[Value, Count] : Service.Counts)
      Counts[Value] += Count;
  }
  for (const Counter Value :
       {Counter::Answered, Counter::RefusedNotRun, Counter::RefusedUnknown,
        Counter::Moved, Counter::MoveRefused, Counter::MoveLost,
        Counter::Retried, Counter::EndpointShed, Counter::EndpointDead,
        Counter::Duplicate, Counter::PassedToOwner, Counter::UpdateGap,
        Counter::NotificationSent, Counter::DeadlineRunning,
        Counter::DeadlineInQueue})
    EXPECT_GT(Counts[Value], 0) << toString(Value);
  EXPECT_GT(Runs, 500U);
}

} // namespace
} // namespace burdockstream::requests
