#include "burdockstream/flows/Placement.h"

#include <algorithm>

namespace burdockstream::flows {

double loadOf(const Candidate &Choice) {
  double Work =
      Choice.Waiting + Choice.UnreportedFlows + WorkPerFlow * Choice.Flows;
  if (Choice.Warming)
    Work = (Work + 1) * WarmupFactor;
  return (Work + Choice.Penalty) / Choice.Slots;
}

void removeEjected(std::vector<Candidate> &Choices) {
  const auto Usable = static_cast<size_t>(
      std::count_if(Choices.begin(), Choices.end(),
                    [](const Candidate &Each) { return !Each.Ejected; }));
  if (Usable * MaxTargetsPerUsable >= Choices.size())
    std::erase_if(Choices, [](const Candidate &Each) { return Each.Ejected; });
}

std::optional<uint32_t> chooseTarget(std::span<const Candidate> Choices,
                                     base::RandomSource &Random) {
  std::optional<uint32_t> Best;
  double BestLoad = 0;
  uint64_t Equal = 0;
  for (const Candidate &Choice : Choices) {
    const double Load = loadOf(Choice);
    if (Best && Load > BestLoad)
      continue;
    Equal = Best && Load == BestLoad ? Equal + 1 : 1;
    if (Equal > 1 && base::randomBelow(Random, Equal) != 0)
      continue;
    Best = Choice.Target;
    BestLoad = Load;
  }
  return Best;
}

} // namespace burdockstream::flows
