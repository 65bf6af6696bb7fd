#include "burdockstream/flows/ServiceCapacity.h"

#include "burdockstream/base/NameTable.h"
#include "burdockstream/flows/OpeningAdmission.h"
#include "burdockstream/flows/Placement.h"

#include <algorithm>
#include <vector>

namespace burdockstream::flows {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr base::NameTable<ShortageChange, 3> ChangeNames({{
    {ShortageChange::Began, "capacity_short"},
    {ShortageChange::Ended, "capacity_sufficient"},
    {ShortageChange::Unknown, "capacity_unknown"},
}});

base::Duration toDuration(double InSeconds) {
  return std::chrono::round<base::Duration>(Seconds(InSeconds));
}

// One target that accepts flows.
struct Member {
  uint32_t Slots = 1;
  uint32_t Work = 0;
  uint32_t Waiting = 0; // of Work, without late held openings
  base::Duration WarmupLeft{0};
  // Time per request after the warm-up; 0: unknown.
  double SlotSeconds = 0;
  bool Ejected = false;

  bool isWarming() const { return WarmupLeft > base::Duration(0); }
  double warmRate() const { return Slots / SlotSeconds; }
  double rate() const {
    return isWarming() ? warmRate() / WarmupFactor : warmRate();
  }
};

// Returns the requests at a target. The status counts held openings that would
// be on time as waiting too; those are at most the ones that exceed the slots.
uint32_t workAt(const TargetStatus &Status, uint32_t Slots) {
  return std::max(Status.Waiting,
                  std::min(Status.Waiting, Slots) + Status.HeldOpenings);
}

Member memberOf(const Target &Each, base::TimePoint Now) {
  const TargetStatus &Status = Each.Status;
  Member Result;
  Result.Slots = std::max(Status.Slots, 1U);
  Result.Work = workAt(Status, Result.Slots);
  Result.Waiting = Status.Waiting;
  Result.WarmupLeft =
      std::chrono::milliseconds(Status.WarmupMs) - (Now - Each.LastStatusAt);
  Result.SlotSeconds =
      Seconds(std::chrono::microseconds(Status.SlotTimeUs)).count();
  // The slot time is that of the last 32 answers (AnswerDecay), so during a
  // warm-up it includes the slowness.
  if (Status.WarmupMs > 0)
    Result.SlotSeconds /= WarmupFactor;
  Result.Ejected = Status.EjectedMs > 0;
  return Result;
}

// Removes ejected targets under the same condition as placement does: they
// seem fast, since they fail their requests at once.
void removeEjected(std::vector<Member> &Members) {
  const auto Usable = static_cast<size_t>(
      std::count_if(Members.begin(), Members.end(),
                    [](const Member &Each) { return !Each.Ejected; }));
  if (Usable * MaxTargetsPerUsable >= Members.size())
    std::erase_if(Members, [](const Member &Each) { return Each.Ejected; });
}

// Gives targets without a measured slot time the lower median of the others: to
// leave out idle targets that have just started would overstate the wait.
// Returns whether enough targets have a measured one.
bool completeSlotTimes(std::vector<Member> &Members) {
  std::vector<double> Measured;
  for (const Member &Each : Members)
    if (Each.SlotSeconds > 0)
      Measured.push_back(Each.SlotSeconds);
  if (Measured.size() < MinMeasuredTargets)
    return false;
  if (Measured.size() == Members.size())
    return true;
  const auto Middle =
      Measured.begin() + static_cast<ptrdiff_t>((Measured.size() - 1) / 2);
  std::nth_element(Measured.begin(), Middle, Measured.end());
  for (Member &Each : Members)
    if (Each.SlotSeconds <= 0)
      Each.SlotSeconds = *Middle;
  return true;
}

// Returns the time in which Members finish Backlog requests. Their rate, Rate
// per second now, rises when a target ends its warm-up.
base::Duration timeToFinish(double Backlog, double Rate,
                            std::vector<Member> Members) {
  std::erase_if(Members, [](const Member &Each) { return !Each.isWarming(); });
  std::sort(Members.begin(), Members.end(),
            [](const Member &Left, const Member &Right) {
              return Left.WarmupLeft < Right.WarmupLeft;
            });
  double Elapsed = 0;
  for (const Member &Each : Members) {
    const double WarmAt = Seconds(Each.WarmupLeft).count();
    const double Finished = (WarmAt - Elapsed) * Rate;
    if (Finished >= Backlog)
      break;
    Backlog -= Finished;
    Elapsed = WarmAt;
    Rate += Each.warmRate() - Each.rate();
  }
  return toDuration(Elapsed + Backlog / Rate);
}

} // namespace

std::optional<ServiceCapacity> capacityOf(const TargetTable &Targets,
                                          base::ServiceId Service,
                                          base::TimePoint Now) {
  std::vector<Member> Members;
  for (const TargetIndex Index : Targets.ofService(Service))
    if (const Target &Each = *Targets.at(Index); acceptsFlows(Each, Now))
      Members.push_back(memberOf(Each, Now));
  removeEjected(Members);
  if (!completeSlotTimes(Members))
    return std::nullopt;
  ServiceCapacity Result;
  for (const Member &Each : Members) {
    Result.RatePerSecond += Each.rate();
    Result.WorkAhead += Each.Work;
    Result.WorkBeforeNew += Each.Waiting;
    Result.Slots += Each.Slots;
    Result.Warming += Each.isWarming() ? 1 : 0;
    ++Result.Targets;
  }
  Result.SlotTime = toDuration(Result.Slots / Result.RatePerSecond);
  if (Result.WorkAhead > Result.Slots)
    Result.ExpectedWait =
        timeToFinish(Result.WorkAhead - Result.Slots, Result.RatePerSecond,
                     std::move(Members));
  return Result;
}

std::unordered_map<base::ServiceId, base::Duration>
latencyTargets(const RouteTable &Table) {
  std::unordered_map<base::ServiceId, base::Duration> Shortest;
  for (const auto &[Address, Each] : Table.Routes) {
    if (!Each.Time)
      continue;
    for (const WeightedService &To : Each.Services) {
      const auto Known =
          Shortest.try_emplace(To.Service, Each.Time->ToLatencyTarget).first;
      Known->second = std::min(Known->second, Each.Time->ToLatencyTarget);
    }
  }
  return Shortest;
}

ShortageLimits shortageLimits(const ServiceCapacity &Capacity,
                              std::optional<base::Duration> LatencyTarget) {
  // A wait of one slot time is usual where all slots are busy, so a latency
  // target that requires less is not used.
  const base::Duration Begin =
      LatencyTarget
          ? std::max(*LatencyTarget - Capacity.SlotTime, Capacity.SlotTime)
          : Capacity.SlotTime * (RequestsPerSlot - 1);
  return {Begin, toDuration(Seconds(Begin).count() * ShortageEndShare)};
}

std::string_view toString(ShortageChange Change) {
  return ChangeNames.name(Change);
}

void ShortageMonitor::record(State &Known, base::Duration Wait,
                             base::TimePoint Now) {
  Known.Waits.emplace_back(Now, Wait);
  while (Now - Known.Waits.front().first > ShortageTrendWindow)
    Known.Waits.pop_front();
}

std::optional<ShortageChange> ShortageMonitor::update(
    base::ServiceId Service, const std::optional<ServiceCapacity> &Capacity,
    std::optional<base::Duration> LatencyTarget, base::TimePoint Now) {
  State &Known = Services[Service];
  bool Short = false;
  if (Capacity) {
    const ShortageLimits Limits = shortageLimits(*Capacity, LatencyTarget);
    Known.EndLimit = Limits.End;
    record(Known, Capacity->ExpectedWait, Now);
    Short = Capacity->ExpectedWait > (Known.Short ? Limits.End : Limits.Begin);
  } else {
    Known.Waits.clear();
  }
  if (Short == Known.Short ||
      (Known.ChangedAt && Now - *Known.ChangedAt < ShortageReportInterval))
    return std::nullopt;
  Known.Short = Short;
  Known.Since = Now;
  Known.ChangedAt = Now;
  if (Short)
    return ShortageChange::Began;
  return Capacity ? ShortageChange::Ended : ShortageChange::Unknown;
}

std::optional<base::Duration>
ShortageMonitor::shortFor(base::ServiceId Service, base::TimePoint Now) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end() || !Found->second.Short)
    return std::nullopt;
  return Now - Found->second.Since;
}

std::optional<base::Duration>
ShortageMonitor::expectedToLast(base::ServiceId Service) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end() || !Found->second.Short ||
      Found->second.Waits.empty())
    return std::nullopt;
  const auto &[FirstAt, First] = Found->second.Waits.front();
  const auto &[LastAt, Last] = Found->second.Waits.back();
  if (Last >= First)
    return std::nullopt;
  const double FallPerSecond =
      Seconds(First - Last).count() / Seconds(LastAt - FirstAt).count();
  const double Left =
      Seconds(std::max(Last - Found->second.EndLimit, base::Duration(0)))
          .count() /
      FallPerSecond;
  if (Left > Seconds(MaxShortageForecast).count())
    return std::nullopt;
  return toDuration(Left);
}

} // namespace burdockstream::flows
