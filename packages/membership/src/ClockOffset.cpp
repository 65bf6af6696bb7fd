#include "burdockstream/membership/ClockOffset.h"

#include <algorithm>

namespace burdockstream::membership {

void ClockOffset::add(int64_t SentMilliseconds, int64_t RemoteMilliseconds,
                      int64_t ReceivedMilliseconds) {
  Samples[Next] =
      RemoteMilliseconds - (SentMilliseconds + ReceivedMilliseconds) / 2;
  Next = (Next + 1) % MaxSamples;
  Count = std::min(Count + 1, MaxSamples);
}

int64_t ClockOffset::medianMilliseconds() const {
  if (Count == 0)
    return 0;
  std::array<int64_t, MaxSamples> Sorted = Samples;
  const auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Count / 2);
  std::nth_element(Sorted.begin(), Middle,
                   Sorted.begin() + static_cast<std::ptrdiff_t>(Count));
  return *Middle;
}

} // namespace burdockstream::membership
