#include "Jobs.h"

#include <algorithm>
#include <cmath>

namespace burdockstream::bench {

base::Duration drawExponential(base::RandomSource &Random, base::Duration Mean,
                               double MaxFactor) {
  const double Unit = (static_cast<double>(Random() >> 11) + 0.5) / 0x1p53;
  const double Factor = std::min(-std::log(Unit), MaxFactor);
  return base::Duration(
      static_cast<int64_t>(Factor * static_cast<double>(Mean.count())));
}

double meanRunSeconds(const Workload &Load) {
  const double UntruncatedMean =
      Load.LongFraction * static_cast<double>(Load.LongMean.count()) +
      (1 - Load.LongFraction) * static_cast<double>(Load.ShortMean.count());
  return UntruncatedMean * (1 - std::exp(-5.0)) / 1e6;
}

base::Duration percentile(std::vector<base::Duration> Values, double Fraction) {
  if (Values.empty())
    return base::Duration{0};
  const auto Rank = static_cast<size_t>(
      std::ceil(Fraction * static_cast<double>(Values.size())));
  const size_t Index = std::clamp<size_t>(Rank, 1, Values.size()) - 1;
  std::ranges::nth_element(Values,
                           Values.begin() + static_cast<ptrdiff_t>(Index));
  return Values[Index];
}

} // namespace burdockstream::bench
