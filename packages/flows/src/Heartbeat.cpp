#include "burdockstream/flows/Heartbeat.h"

#include "burdockstream/base/NameTable.h"

namespace burdockstream::flows {

namespace {

constexpr base::NameTable<HeartbeatVerdict, 5> VerdictNames({{
    {HeartbeatVerdict::Accepted, "accepted"},
    {HeartbeatVerdict::NewRun, "new_run"},
    {HeartbeatVerdict::Resumed, "resumed"},
    {HeartbeatVerdict::Late, "late"},
    {HeartbeatVerdict::Foreign, "foreign"},
}});

constexpr base::NameTable<EndVerdict, 3> EndNames({{
    {EndVerdict::Ended, "ended"},
    {EndVerdict::Unproven, "unproven"},
    {EndVerdict::OtherRun, "other_run"},
}});

bool isOfSameRun(const Heartbeat &One, const Heartbeat &Other) {
  return One.StartedAtMs == Other.StartedAtMs && One.TargetId == Other.TargetId;
}

} // namespace

std::string_view toString(HeartbeatVerdict Verdict) {
  return VerdictNames.name(Verdict);
}

std::string_view toString(EndVerdict Verdict) { return EndNames.name(Verdict); }

HeartbeatVerdict HeartbeatFilter::classify(const Heartbeat &Beat,
                                           const TargetIdentity &Own,
                                           base::TimePoint Now) {
  if (Beat.Service != Own.Service || Beat.Address != Own.Address)
    return HeartbeatVerdict::Foreign;
  HeartbeatVerdict Verdict = HeartbeatVerdict::Resumed;
  if (outranksLast(Beat, Now))
    Verdict = Known && isOfSameRun(Beat, Last) ? HeartbeatVerdict::Accepted
                                               : HeartbeatVerdict::NewRun;
  else if (!takesOver(Beat, Now))
    return HeartbeatVerdict::Late;
  Known = true;
  Ended = false;
  Last = Beat;
  LastAt = Now;
  Rejected.reset();
  return Verdict;
}

bool HeartbeatFilter::outranksLast(const Heartbeat &Beat,
                                   base::TimePoint Now) const {
  if (!Known)
    return true;
  if (isOfSameRun(Beat, Last))
    return !Ended && Beat.Sequence > Last.Sequence;
  const bool LastAlive = !Ended && Now - LastAt < Overdue;
  return Beat.StartedAtMs > Last.StartedAtMs &&
         !(Beat.StartsInFuture && LastAlive);
}

bool HeartbeatFilter::takesOver(const Heartbeat &Beat, base::TimePoint Now) {
  const bool Continues = Rejected && isOfSameRun(Beat, *Rejected) &&
                         Beat.Sequence > Rejected->Sequence;
  if (!Continues)
    RejectedSince = Now;
  Rejected = Beat;
  return Now - RejectedSince >= Overdue && Now - LastAt >= Overdue;
}

EndVerdict HeartbeatFilter::end(const std::string &TargetId,
                                int64_t StartedAtMs) {
  if (!Known || TargetId != Last.TargetId ||
      (StartedAtMs != 0 && StartedAtMs != Last.StartedAtMs))
    return EndVerdict::OtherRun;
  if (StartedAtMs == 0 && !Last.Draining && !Ended)
    return EndVerdict::Unproven;
  Ended = true;
  return EndVerdict::Ended;
}

} // namespace burdockstream::flows
