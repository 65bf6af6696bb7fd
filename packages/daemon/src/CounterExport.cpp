#include "CounterExport.h"

#include <string_view>

namespace burdockstream::daemon {

namespace {

void set(base::Metrics &Registry, std::string_view Name, uint64_t Value) {
  Registry.gauge(Name).set(static_cast<int64_t>(Value));
}

} // namespace

void exportCounters(base::Metrics &Registry, DataSocket &Data) {
  const messages::CodecCounters &Codec = Data.codec().counters();
  set(Registry, "messages_accepted", Codec.Accepted);
  set(Registry, "messages_truncated", Codec.Truncated);
  set(Registry, "messages_bad_version", Codec.BadVersion);
  set(Registry, "messages_unknown_key", Codec.UnknownKey);
  set(Registry, "messages_bad_mac", Codec.BadMac);
  set(Registry, "messages_replayed", Codec.Replayed);
  set(Registry, "messages_bad_body", Codec.BadBody);
  network::exportCounters(Registry, Data.socket().counters());
}

void exportCounters(base::Metrics &Registry,
                    const routing::RouterCounters &Counters) {
  set(Registry, "routed", Counters.Routed);
  set(Registry, "unknown_service_address", Counters.UnknownServiceAddress);
  set(Registry, "service_without_endpoints", Counters.ServiceWithoutEndpoints);
  set(Registry, "table_builds", Counters.TableBuilds);
}

void exportCounters(base::Metrics &Registry,
                    const membership::BalancerMembershipCounters &Counters) {
  set(Registry, "suspicions", Counters.Suspicions);
  set(Registry, "refutations", Counters.Refutations);
  set(Registry, "process_pauses", Counters.Pauses);
}

void exportCounters(base::Metrics &Registry,
                    const ownership::OwnershipCounters &Counters) {
  set(Registry, "buckets_first_assigned", Counters.FirstAssignments);
  set(Registry, "buckets_claimed", Counters.Claims);
  set(Registry, "buckets_handed_in", Counters.HandoversIn);
  set(Registry, "buckets_handed_out", Counters.HandoversOut);
  set(Registry, "buckets_handover_refused", Counters.HandoversRefused);
  set(Registry, "buckets_reclaimed", Counters.Reclaims);
  set(Registry, "lease_lapses", Counters.Lapses);
  set(Registry, "lease_affirmations", Counters.Affirmations);
  set(Registry, "ownership_conflicts", Counters.SwapConflicts);
  set(Registry, "ownership_store_failures", Counters.StoreFailures);
  set(Registry, "foreign_arbiter_lists", Counters.ForeignArbiterLists);
}

} // namespace burdockstream::daemon
