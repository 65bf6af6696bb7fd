#include "burdockstream/membership/Prober.h"

#include "burdockstream/membership/Settings.h"

#include <algorithm>

namespace burdockstream::membership {

using messages::MemberInfo;

void Prober::probeNext(const MemberTable &Table, const MemberInfo &Self,
                       base::TimePoint Now, ActionSink &Sink) {
  if (ProbeOrder.empty()) {
    ProbeOrder = Table.balancers();
    for (size_t I = ProbeOrder.size(); I > 1; --I)
      std::swap(ProbeOrder[I - 1], ProbeOrder[base::randomBelow(*Random, I)]);
  }
  while (!ProbeOrder.empty()) {
    const MemberInfo *Target = Table.find(ProbeOrder.back());
    ProbeOrder.pop_back();
    if (!Target || Target->Id == Self.Id || isStoppedOrDead(Target->State))
      continue;
    Probes.push_back({++Sequence, *Target, Now, Now, {}});
    sendNext(Probes.back(), Table, Self, Now, Sink);
    return;
  }
}

std::vector<MemberInfo> Prober::tick(const MemberTable &Table,
                                     const MemberInfo &Self,
                                     base::TimePoint Now, ActionSink &Sink) {
  std::vector<MemberInfo> Failed;
  for (OutstandingProbe &Probe : Probes) {
    if (Now - Probe.Start >= ProbeTimeout)
      Failed.push_back(Probe.Target);
    else if (Now >= Probe.Next)
      sendNext(Probe, Table, Self, Now, Sink);
  }
  std::erase_if(Probes, [&](const OutstandingProbe &Probe) {
    return Now - Probe.Start >= ProbeTimeout;
  });
  std::erase_if(Relays, [&](const Relay &R) { return Now >= R.Expires; });
  return Failed;
}

void Prober::sendNext(OutstandingProbe &Probe, const MemberTable &Table,
                      const MemberInfo &Self, base::TimePoint Now,
                      ActionSink &Sink) {
  if (Now - Probe.Start < DirectProbeTimeout) {
    send(Sink, Probe.Target.Data, messages::Probe{Probe.Sequence, Self});
    Probe.Next =
        std::min(Now + DirectProbeRepeat, Probe.Start + DirectProbeTimeout);
    return;
  }
  if (Probe.Proxies.empty())
    chooseProxies(Probe, Table, Self);
  for (base::SocketAddress Proxy : Probe.Proxies)
    send(Sink, Proxy,
         messages::IndirectProbe{Probe.Sequence, Probe.Target.Data});
  Probe.Next = std::min(Now + IndirectProbeRepeat, Probe.Start + ProbeTimeout);
}

void Prober::chooseProxies(OutstandingProbe &Probe, const MemberTable &Table,
                           const MemberInfo &Self) {
  const std::vector<base::DaemonId> &Balancers = Table.balancers();
  if (Balancers.empty()) // this balancer is leaving and knows no other one
    return;
  // In a small group the random choice may repeat. With four attempts per
  // proxy, nearly always as many proxies are found as exist.
  for (size_t I = 0; I < 4 * IndirectProbeProxies &&
                     Probe.Proxies.size() < IndirectProbeProxies;
       ++I) {
    const base::DaemonId Id =
        Balancers[base::randomBelow(*Random, Balancers.size())];
    const base::SocketAddress Data = Table.find(Id)->Data;
    if (Id != Self.Id && Id != Probe.Target.Id &&
        std::find(Probe.Proxies.begin(), Probe.Proxies.end(), Data) ==
            Probe.Proxies.end())
      Probe.Proxies.push_back(Data);
  }
}

void Prober::handle(const messages::ProbeAck &Ack, ActionSink &Sink) {
  std::erase_if(Probes, [&](const OutstandingProbe &Probe) {
    return Probe.Sequence == Ack.Sequence;
  });
  for (const Relay &R : Relays)
    if (R.Sequence == Ack.Sequence)
      send(Sink, R.Requester,
           messages::ProbeAck{R.RequesterSequence, Ack.Self});
}

void Prober::handle(const messages::IndirectProbe &Request,
                    base::SocketAddress From, const MemberInfo &Self,
                    base::TimePoint Now, ActionSink &Sink) {
  Relays.push_back(
      {++Sequence, Request.Sequence, From, Now + DirectProbeTimeout});
  send(Sink, Request.Target, messages::Probe{Sequence, Self});
}

void Prober::clear() {
  Probes.clear();
  Relays.clear();
}

base::TimePoint Prober::nextDeadline() const {
  base::TimePoint Next = base::Never;
  for (const OutstandingProbe &Probe : Probes)
    Next = std::min(Next, Probe.Next);
  for (const Relay &R : Relays)
    Next = std::min(Next, R.Expires);
  return Next;
}

} // namespace burdockstream::membership
