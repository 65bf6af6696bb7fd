#include "burdockstream/store/Store.h"

namespace burdockstream::store {

void exportCounters(base::Metrics &Registry, const CallCounters &Counters) {
  const auto Set = [&](const char *Name, uint64_t Value) {
    Registry.gauge(Name).set(static_cast<int64_t>(Value));
  };
  Set("store_reads", Counters.Reads);
  Set("store_writes", Counters.Writes);
  Set("store_failures", Counters.Failures);
}

} // namespace burdockstream::store
