#include "burdockstream/flows/RequestTime.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace burdockstream::flows {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double StepsPerDoubling = 16;
constexpr double LargestStep = std::numeric_limits<uint8_t>::max();

} // namespace

uint8_t packTime(base::Duration Time) {
  if (Time <= base::Duration(0))
    return 0;
  const double Step =
      std::round(StepsPerDoubling * std::log2(1 + Milliseconds(Time).count()));
  return static_cast<uint8_t>(std::clamp(Step, 1.0, LargestStep));
}

base::Duration unpackTime(uint8_t Value) {
  const Milliseconds Time(std::exp2(Value / StepsPerDoubling) - 1);
  return std::chrono::duration_cast<base::Duration>(Time);
}

} // namespace burdockstream::flows
