#include "burdockstream/flows/Heartbeat.h"

#include "burdockstream/base/NameTable.h"

namespace burdockstream::flows {

namespace {

constexpr base::NameTable<HeartbeatVerdict, 4> VerdictNames({{
    {HeartbeatVerdict::Accepted, "accepted"},
    {HeartbeatVerdict::NewRun, "new_run"},
    {HeartbeatVerdict::Late, "late"},
    {HeartbeatVerdict::Foreign, "foreign"},
}});

} // namespace

std::string_view toString(HeartbeatVerdict Verdict) {
  return VerdictNames.name(Verdict);
}

HeartbeatVerdict HeartbeatFilter::classify(const Heartbeat &Beat,
                                           const TargetIdentity &Own) {
  if (Beat.Service != Own.Service || Beat.Address != Own.Address)
    return HeartbeatVerdict::Foreign;
  if (Known && Beat.StartedAtMs < Last.StartedAtMs)
    return HeartbeatVerdict::Late;
  const bool SameRun = Known && Beat.StartedAtMs == Last.StartedAtMs &&
                       Beat.TargetId == Last.TargetId;
  if (SameRun && (Ended || Beat.Sequence <= Last.Sequence))
    return HeartbeatVerdict::Late;
  Known = true;
  Ended = false;
  Last = Beat;
  return SameRun ? HeartbeatVerdict::Accepted : HeartbeatVerdict::NewRun;
}

bool HeartbeatFilter::end(const std::string &TargetId, int64_t StartedAtMs) {
  const bool Current = Known && TargetId == Last.TargetId &&
                       (StartedAtMs == 0 || StartedAtMs == Last.StartedAtMs);
  Ended = Ended || Current;
  return Current;
}

} // namespace burdockstream::flows
