#include "burdockstream/store/Store.h"

#include <utility>

namespace burdockstream::store {

void exportCounters(base::Metrics &Registry, const CallCounters &Counters) {
  const auto Set = [&](const char *Name, uint64_t Value) {
    Registry.gauge(Name).set(static_cast<int64_t>(Value));
  };
  Set("store_reads", Counters.Reads);
  Set("store_writes", Counters.Writes);
  Set("store_failures", Counters.Failures);
}

http::JsonCallback toDone(DoneCallback Callback) {
  return [Done = std::move(Callback)](base::Result<Json::Value> Response) {
    if (Response.has_error())
      Done(Response.error());
    else
      Done(boost::outcome_v2::success());
  };
}

} // namespace burdockstream::store
