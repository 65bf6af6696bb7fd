#include "burdockstream/nodes/BalancerNode.h"

#include "burdockstream/ownership/Timing.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace burdockstream::nodes {

using messages::MemberState;

namespace {

// Time between the announcement that a balancer leaves and its exit. Agents
// learn of it with the next acknowledgment of their announcements, once a
// second, and then reply through others.
constexpr base::Duration LeaveTime = std::chrono::milliseconds(2500);

messages::MemberInfo balancerSelf(messages::MemberInfo Self) {
  Self.Kind = messages::Role::Balancer;
  return Self;
}

std::vector<base::SocketAddress>
addressesOf(const std::vector<membership::BalancerLocation> &Entries) {
  std::vector<base::SocketAddress> Addresses;
  Addresses.reserve(Entries.size());
  for (const membership::BalancerLocation &Known : Entries)
    Addresses.push_back(Known.Address);
  return Addresses;
}

} // namespace

BalancerNode::BalancerNode(const BalancerNodeSettings &InitSettings,
                           base::RandomSource &Random, base::Metrics &Registry,
                           base::Now Now)
    : Membership(balancerSelf(InitSettings.Self), InitSettings.Entries, Random),
      Router(InitSettings.HashSeed),
      Arbiter(InitSettings.Self.Data, addressesOf(InitSettings.Entries),
              Now.Monotonic),

      ArbiterReady(Now.Monotonic + ownership::ArbiterRestartDelay),
      LeasesGranted(Registry.counter("leases_granted")),
      FencesGranted(Registry.counter("fences_granted")),
      RecordsRefused(Registry.counter("records_refused")) {}

bool BalancerNode::isReady(base::Now Now) const {
  return Membership.joined() && !ShuttingDown && Now.Monotonic >= ArbiterReady;
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

void BalancerNode::adopt(const messages::RecordEntry &Record) {
  const auto Adopted =
      Records.adopt(Record.Service, Record.StoreRevision, Record.Body);
  if (Adopted.has_error()) {
    RecordsRefused.add();
    LOG(ERROR) << "kept the previous record of " << Record.Service << ": "
               << Adopted.error().Message;
    return;
  }
  if (Adopted.value() == records::Adoption::NotNewer)
    return;
  LOG(INFO) << "record of " << Record.Service << " in force, store revision "
            << Record.StoreRevision;
  Router.setConfig(Records.findByName(Record.Service)->Config);
}

void BalancerNode::performMembership(base::Now, ActionSink &Out) {
  std::vector<base::ServiceId> Changed;
  for (auto &Wanted : std::exchange(MembershipOut, {})) {
    if (auto *Send = std::get_if<membership::SendMessage>(&Wanted))
      Out.push_back(SendDatagram{Send->To, std::move(Send->Body)});
    else if (const auto *Member =
                 std::get_if<membership::MemberChanged>(&Wanted))
      Changed.push_back(Member->Member.Service);
    else if (const auto *Gone = std::get_if<membership::MemberRemoved>(&Wanted))
      Changed.push_back(Gone->Member.Service);
    else if (const auto *Learned =
                 std::get_if<membership::RecordUpdated>(&Wanted))
      adopt(Learned->Record);
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
  LOG(INFO) << "balancer drains";
  Membership.setState(MemberState::Stopped, Now, MembershipOut);
  ExitTime = Now.Monotonic + LeaveTime;
  performMembership(Now, Out);
}

void BalancerNode::tick(base::Now Now, ActionSink &Out) {
  Membership.tick(Now, MembershipOut);
  if (Membership.joined() && !AnnouncedReady && !ShuttingDown) {
    AnnouncedReady = true;
    LOG(INFO) << "balancer has joined the group";
    Membership.setState(MemberState::Ready, Now, MembershipOut);
  }
  performMembership(Now, Out);
  if (Now.Monotonic < ExitTime)
    return;
  ExitTime = base::Never;
  LOG(INFO) << "balancer has stopped";
  Out.push_back(Finished{});
}

base::TimePoint BalancerNode::nextDeadline() const {
  return std::min(Membership.nextDeadline(), ExitTime);
}

} // namespace burdockstream::nodes
