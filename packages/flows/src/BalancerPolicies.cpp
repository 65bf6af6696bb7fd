// The balancer's view of evacuated failure domains, and the policies through
// which agents learn what operators require of their targets.
#include "burdockstream/flows/FlowBalancer.h"

namespace burdockstream::flows {

void FlowBalancer::setEvacuations(const std::set<std::string> &Domains,
                                  base::Revision Revision,
                                  base::TimePoint Now) {
  for (const std::string &Domain : Evacuated.setAll(Domains, Revision))
    onEvacuationChanged(Domain, {}, Now);
}

void FlowBalancer::applyEvacuation(const std::string &Domain,
                                   const DomainEvacuation &Change,
                                   base::TimePoint Now) {
  if (Evacuated.apply(Domain, Change))
    onEvacuationChanged(Domain, {}, Now);
}

void FlowBalancer::onEvacuationReported(base::SocketAddress Agent,
                                        const TargetStatus &Status,
                                        base::TimePoint Now) {
  if (Evacuated.report(Status.FailureDomain, Status.Evacuation))
    onEvacuationChanged(Status.FailureDomain, Agent, Now);
}

void FlowBalancer::onEvacuationChanged(const std::string &Domain,
                                       base::SocketAddress Source,
                                       base::TimePoint Now) {
  const DomainEvacuation State = Evacuated.of(Domain);
  for (const auto &Each : Targets.all())
    if (Each && Each->FailureDomain == Domain) {
      Each->Evacuated = State.Evacuated;
      Each->NextPolicy = Now;
      sendPolicy(*Each, Now);
    }
  ReplayPending = true;
  NextSubscriptionUpdate = Now; // flows move to other targets
  if (Hooks.OnEvacuation)
    Hooks.OnEvacuation(Domain, State, Source);
}

void FlowBalancer::markEvacuated(base::SocketAddress Agent) {
  if (Target *Known = Targets.at(Targets.indexOf(Agent)))
    Known->Evacuated = Evacuated.of(Known->FailureDomain).Evacuated;
}

// Does nothing if the agent has the same or a newer state.
void FlowBalancer::sendPolicy(Target &To, base::TimePoint Now) {
  if (Now < To.NextPolicy)
    return;
  const DomainEvacuation Own = Evacuated.of(To.FailureDomain);
  const DomainEvacuation &Reported = To.Status.Evacuation;
  const bool NewEvacuation =
      Own.Evacuated != Reported.Evacuated && Own.Revision > Reported.Revision;
  const uint32_t Limit = Routes ? warmupLimitOf(*Routes, To.Service) : 0;
  const bool NewLimit = Limit != To.Status.WarmupFlowsPerSecond &&
                        routesRevision() >= To.Status.NewestRoutes;
  if (!NewEvacuation && !NewLimit)
    return;
  To.NextPolicy = Now + PolicyInterval;
  FrameHeader Header;
  Header.Kind = FrameKind::Policy;
  Header.Routes = routesRevision();
  Hooks.SendFrame(To.Agent, Header, packPolicy({To.FailureDomain, Own, Limit}));
}

} // namespace burdockstream::flows
