#include "burdockstream/flows/CompletionTime.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

namespace burdockstream::flows {

namespace {

// Returns the slot time after the warm-up. One that is reported during the
// warm-up covers about the last 32 answers, so it was measured in the warm-up
// but for the first of them after a restart of the target alone.
Milliseconds normalSlotTime(const Candidate &Choice, Milliseconds Typical) {
  if (Choice.SlotTimeUs == 0)
    return Typical;
  const Milliseconds Measured = std::chrono::microseconds(Choice.SlotTimeUs);
  return Choice.WarmupMs > 0 ? Measured / WarmupFactor : Measured;
}

// Returns the candidate with the least expected time, preferred ones first
// among equals, then at random. Precondition: Choices is not empty.
const Candidate &leastTime(std::span<const Candidate> Choices,
                           Milliseconds Typical, base::RandomSource &Random) {
  const Candidate *Best = nullptr;
  Milliseconds BestTime{0};
  uint64_t Equal = 0;
  for (const Candidate &Choice : Choices) {
    const Milliseconds Time = expectedTime(Choice, Typical);
    const bool IsEqual = Best && Time == BestTime;
    if (Best &&
        (Time > BestTime || (IsEqual && Best->Preferred && !Choice.Preferred)))
      continue;
    Equal = IsEqual && Best->Preferred == Choice.Preferred ? Equal + 1 : 1;
    if (Equal > 1 && base::randomBelow(Random, Equal) != 0)
      continue;
    Best = &Choice;
    BestTime = Time;
  }
  return *Best;
}

} // namespace

Milliseconds remoteDistance(double Penalty) {
  return RemoteLatency * (Penalty / RemotePenalty);
}

Milliseconds typicalSlotTime(std::span<const Candidate> Choices) {
  std::vector<Milliseconds> Known;
  for (const Candidate &Each : Choices)
    if (Each.SlotTimeUs > 0)
      Known.push_back(normalSlotTime(Each, AssumedSlotTime));
  if (Known.empty())
    return AssumedSlotTime;
  const auto Middle =
      Known.begin() + static_cast<std::ptrdiff_t>(Known.size() / 2);
  std::nth_element(Known.begin(), Middle, Known.end());
  return *Middle;
}

Milliseconds expectedTime(const Candidate &Choice,
                          Milliseconds TypicalSlotTime) {
  const double WorkAhead =
      Choice.Waiting + Choice.UnreportedFlows + WorkPerFlow * Choice.Flows;
  const Milliseconds Normal =
      normalSlotTime(Choice, TypicalSlotTime) * (WorkAhead / Choice.Slots + 1);
  // During the warm-up, a target completes 1 / WarmupFactor of its normal work.
  const Milliseconds Lost =
      Milliseconds(Choice.WarmupMs) * (1 - 1 / WarmupFactor);
  return std::min(Normal * WarmupFactor, Normal + Lost) + Choice.Distance;
}

std::optional<uint32_t> chooseByLeastTime(std::span<const Candidate> Choices,
                                          base::RandomSource &Random) {
  if (Choices.empty())
    return std::nullopt;
  return leastTime(Choices, typicalSlotTime(Choices), Random).Target;
}

std::optional<uint32_t> chooseBetterOfTwo(std::span<const Candidate> Choices,
                                          base::RandomSource &Random) {
  if (Choices.empty())
    return std::nullopt;
  const Milliseconds Typical = typicalSlotTime(Choices);
  const Milliseconds Reach = leastTime(Choices, Typical, Random).Distance;
  std::vector<Candidate> Near;
  std::copy_if(Choices.begin(), Choices.end(), std::back_inserter(Near),
               [&](const Candidate &Each) { return Each.Distance <= Reach; });
  const auto PreferredEnd =
      std::partition(Near.begin(), Near.end(),
                     [](const Candidate &Each) { return Each.Preferred; });
  if (Reach == Milliseconds(0) && PreferredEnd - Near.begin() >= 2)
    Near.erase(PreferredEnd, Near.end());
  if (Near.size() > 2)
    for (size_t I = 0; I < 2; ++I)
      std::swap(Near[I], Near[I + base::randomBelow(Random, Near.size() - I)]);
  return leastTime(std::span(Near).first(std::min<size_t>(Near.size(), 2)),
                   Typical, Random)
      .Target;
}

} // namespace burdockstream::flows
