#include "burdockstream/nodes/BalancerNode.h"

#include "burdockstream/ownership/Timing.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace burdockstream::nodes {

using messages::MemberState;

namespace {

// Time between the announcement that a balancer stops and its exit. Agents
// learn of it from the next acknowledgment of their announcements, which they
// send once a second, and then send replies through other balancers.
constexpr base::Duration ShutdownDelay = std::chrono::milliseconds(2500);

messages::MemberInfo balancerSelf(messages::MemberInfo Self) {
  Self.Kind = messages::Role::Balancer;
  return Self;
}

std::vector<base::SocketAddress>
addressesOf(const std::vector<membership::BalancerLocation> &Balancers) {
  std::vector<base::SocketAddress> Addresses;
  Addresses.reserve(Balancers.size());
  for (const membership::BalancerLocation &Balancer : Balancers)
    Addresses.push_back(Balancer.Address);
  return Addresses;
}

} // namespace

BalancerNode::BalancerNode(const BalancerNodeSettings &InitSettings,
                           base::RandomSource &Random, base::Metrics &Registry,
                           base::Now Now)
    : Membership(balancerSelf(InitSettings.Self),
                 InitSettings.ConfiguredBalancers, Random),
      Router(InitSettings.HashSeed),
      Arbiter(InitSettings.Self.Data,
              addressesOf(InitSettings.ConfiguredBalancers), Now.Monotonic),
      ArbiterReadyTime(Now.Monotonic + ownership::ArbiterRestartDelay),
      LeasesGranted(Registry.counter("leases_granted")),
      FencesGranted(Registry.counter("fences_granted")),
      RecordsRefused(Registry.counter("records_refused")) {}

bool BalancerNode::isReady(base::Now Now) const {
  return Membership.joined() && !ShuttingDown &&
         Now.Monotonic >= ArbiterReadyTime;
}

void BalancerNode::start(base::Now Now, ActionSink &Out) {
  Membership.start(Now, MembershipOut);
  performMembership(Now, Out);
}

void BalancerNode::onMessage(const messages::Message &Body,
                             base::SocketAddress From, base::Now Now,
                             ActionSink &Out) {
  if (const auto *Lease = std::get_if<messages::LeaseRequest>(&Body)) {
    if (const auto Grant = Arbiter.handle(*Lease, Now)) {
      LeasesGranted.add(Grant->Granted ? 1 : 0);
      Out.push_back(SendDatagram{From, *Grant});
    }
    return;
  }
  if (const auto *Fence = std::get_if<messages::FenceRequest>(&Body)) {
    if (const auto Consent = Arbiter.handle(*Fence, Now)) {
      FencesGranted.add(Consent->Consented ? 1 : 0);
      Out.push_back(SendDatagram{From, *Consent});
    }
    return;
  }
  Membership.handle(Body, From, Now, MembershipOut);
  performMembership(Now, Out);
}

void BalancerNode::onStoreRecord(const messages::RecordEntry &Record,
                                 base::Now Now, ActionSink &Out) {
  Membership.applyRecord(Record, Now, MembershipOut);
  performMembership(Now, Out);
}

void BalancerNode::applyRecord(const messages::RecordEntry &Record) {
  const auto Result =
      Records.apply(Record.Service, Record.StoreRevision, Record.Body);
  if (Result.has_error()) {
    RecordsRefused.add();
    LOG(ERROR) << "rejected a record of " << Record.Service
               << ", keeping the previous one: " << Result.error().Message;
    return;
  }
  if (Result.value() == records::ApplyOutcome::NotNewer)
    return;
  LOG(INFO) << "applied the record of " << Record.Service << ", store revision "
            << Record.StoreRevision;
  Router.setConfig(Records.findByName(Record.Service)->Config);
}

void BalancerNode::performMembership(base::Now, ActionSink &Out) {
  std::vector<base::ServiceId> Changed;
  for (auto &NextAction : std::exchange(MembershipOut, {})) {
    if (auto *Send = std::get_if<membership::SendMessage>(&NextAction))
      Out.push_back(SendDatagram{Send->To, std::move(Send->Body)});
    else if (const auto *Member =
                 std::get_if<membership::MemberChanged>(&NextAction))
      Changed.push_back(Member->Member.Service);
    else if (const auto *Removed =
                 std::get_if<membership::MemberRemoved>(&NextAction))
      Changed.push_back(Removed->Member.Service);
    else if (const auto *Updated =
                 std::get_if<membership::RecordUpdated>(&NextAction))
      applyRecord(Updated->Record);
  }
  std::sort(Changed.begin(), Changed.end());
  Changed.erase(std::unique(Changed.begin(), Changed.end()), Changed.end());
  for (const base::ServiceId Service : Changed)
    if (Service != base::ServiceId{})
      Router.setMembers(Service, Membership.members().ofService(Service));
}

void BalancerNode::beginShutdown(base::Now Now, ActionSink &Out) {
  if (ShuttingDown)
    return;
  ShuttingDown = true;
  LOG(INFO) << "balancer is shutting down";
  Membership.setState(MemberState::Stopped, Now, MembershipOut);
  ExitTime = Now.Monotonic + ShutdownDelay;
  performMembership(Now, Out);
}

void BalancerNode::tick(base::Now Now, ActionSink &Out) {
  Membership.tick(Now, MembershipOut);
  if (Membership.joined() && !AnnouncedReady && !ShuttingDown) {
    AnnouncedReady = true;
    LOG(INFO) << "balancer has joined the group of balancers";
    Membership.setState(MemberState::Ready, Now, MembershipOut);
  }
  performMembership(Now, Out);
  if (Now.Monotonic < ExitTime)
    return;
  ExitTime = base::Never;
  LOG(INFO) << "balancer has stopped";
  Out.push_back(ShutdownComplete{});
}

base::TimePoint BalancerNode::nextDeadline() const {
  return std::min(Membership.nextDeadline(), ExitTime);
}

} // namespace burdockstream::nodes
