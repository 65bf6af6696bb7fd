#include "burdockstream/flows/RouteTable.h"

#include "burdockstream/base/NameTable.h"

#include <algorithm>
#include <glog/logging.h>
#include <tuple>

namespace burdockstream::flows {

namespace {

constexpr base::NameTable<WorkClass, WorkClasses> ClassNames({{
    {WorkClass::Idempotent, "idempotent"},
    {WorkClass::NonIdempotent, "non_idempotent"},
    {WorkClass::Download, "download"},
    {WorkClass::Other, "other"},
}});

} // namespace

std::string_view toString(WorkClass Class) { return ClassNames.name(Class); }

uint32_t warmupLimitOf(const RouteTable &Table, base::ServiceId Service) {
  const auto Found = Table.WarmupFlowsPerSecond.find(Service);
  return Found == Table.WarmupFlowsPerSecond.end() ? 0 : Found->second;
}

base::ServiceId chooseService(const Route &Route, const FlowKey &Flow) {
  CHECK(!Route.Services.empty());
  uint64_t Total = 0;
  for (const WeightedService &Choice : Route.Services)
    Total += Choice.Weight;
  CHECK_GT(Total, 0U) << Route.Name;
  uint64_t Point = hashOf(Flow) % Total;
  for (const WeightedService &Choice : Route.Services) {
    if (Point < Choice.Weight)
      return Choice.Service;
    Point -= Choice.Weight;
  }
  return Route.Services.back().Service;
}

bool isNewer(const RouteTable &Candidate, const RouteTable &InForce) {
  return std::tie(Candidate.Version, Candidate.Revision) >
         std::tie(InForce.Version, InForce.Revision);
}

void mergeFormerServices(const RouteTable &Older, RouteTable &Newer) {
  for (auto &[Address, Route] : Newer.Routes) {
    const auto Known = Older.Routes.find(Address);
    if (Known == Older.Routes.end())
      continue;
    const auto Keep = [&Route = Route](base::ServiceId Service) {
      const bool Current = std::any_of(
          Route.Services.begin(), Route.Services.end(),
          [&](const auto &Each) { return Each.Service == Service; });
      const bool Kept =
          std::find(Route.FormerServices.begin(), Route.FormerServices.end(),
                    Service) != Route.FormerServices.end();
      if (!Current && !Kept)
        Route.FormerServices.push_back(Service);
    };
    for (const WeightedService &Each : Known->second.Services)
      Keep(Each.Service);
    for (const base::ServiceId Service : Known->second.FormerServices)
      Keep(Service);
  }
}

} // namespace burdockstream::flows
