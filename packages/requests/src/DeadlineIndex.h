// Set of timers ordered by time. Each key has at most one timer.
#ifndef BURDOCKSTREAM_REQUESTS_DEADLINEINDEX_H
#define BURDOCKSTREAM_REQUESTS_DEADLINEINDEX_H

#include "burdockstream/base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace burdockstream::requests {

// Not thread-safe.
template <typename KeyT> class DeadlineIndex {
public:
  // Sets or replaces the time of Key.
  void set(const KeyT &Key, base::TimePoint Time) {
    clear(Key);
    Times.emplace(Key, Time);
    Order.emplace(Time, Key);
  }

  // Removes the timer of Key, if there is one.
  void clear(const KeyT &Key) {
    const auto Found = Times.find(Key);
    if (Found == Times.end())
      return;
    Order.erase({Found->second, Key});
    Times.erase(Found);
  }

  // Returns the earliest time, or base::Never.
  base::TimePoint next() const {
    return Order.empty() ? base::Never : Order.begin()->first;
  }

  // Removes and returns the key with the earliest time if that is not after
  // Now.
  std::optional<KeyT> popDue(base::TimePoint Now) {
    if (Order.empty() || Order.begin()->first > Now)
      return std::nullopt;
    const KeyT Key = Order.begin()->second;
    clear(Key);
    return Key;
  }

  bool empty() const { return Order.empty(); }

private:
  std::map<KeyT, base::TimePoint> Times;
  std::set<std::pair<base::TimePoint, KeyT>> Order;
};

} // namespace burdockstream::requests

#endif
