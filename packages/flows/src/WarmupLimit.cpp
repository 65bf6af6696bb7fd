#include "burdockstream/flows/WarmupLimit.h"

namespace burdockstream::flows {

bool WarmupLimit::admits(base::TimePoint Now) {
  while (!Recent.empty() && Now - Recent.front() > WarmupWindow)
    Recent.pop_front();
  return Limit == 0 || Recent.size() < Limit;
}

void WarmupLimit::record(base::TimePoint Now) {
  if (Limit > 0)
    Recent.push_back(Now);
}

} // namespace burdockstream::flows
