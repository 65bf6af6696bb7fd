#include "ServiceSimulation.h"

namespace burdockstream::requests {

ServiceSimulation::ServiceSimulation(const SimulationOptions &InitOptions)
    : Options(InitOptions), Random(InitOptions.Seed),
      CoreRandom(InitOptions.Seed + 1) {
  for (size_t Index = 0; Index < Options.Agents; ++Index)
    addAgent(Index);
  for (base::BucketIndex Bucket = 0; Bucket < SimulatedBuckets; ++Bucket) {
    OwnerOf[Bucket] = Bucket % Options.Agents;
    for (size_t Index = 0; Index < Options.Agents; ++Index)
      setRole(Agents[Index], Bucket,
              Index == OwnerOf[Bucket] ? BucketRole::Owner
                                       : BucketRole::NotOwner);
  }
  for (uint16_t Number = 0; Number < 6; ++Number)
    Callers.push_back(std::make_unique<SimulatedCaller>(*this, Number));
}

void ServiceSimulation::addAgent(size_t Index) {
  Agent New;
  New.Id = {Index + 1};
  Settings Config;
  Config.Self = New.Id;
  Hooks Calls;
  Calls.Count = [this](Counter Value) { ++Counts[Value]; };
  Calls.ChoosePeer =
      [this, Index](const MoveQuery &) -> std::optional<base::DaemonId> {
    if (Options.Agents < 2 || !chance(30))
      return std::nullopt;
    return base::DaemonId{1 + (Index + 1) % Options.Agents};
  };
  New.Core = std::make_unique<RequestCore>(Config, Calls, CoreRandom);
  New.Core->configure(testConfig(3));
  New.Endpoint = std::make_unique<SimulatedEndpoint>(*this, Index);
  Agents.push_back(std::move(New));
}

void ServiceSimulation::schedule(base::Duration Delay,
                                 std::function<void()> Event) {
  Events.emplace(Now.Monotonic + Delay, std::move(Event));
}

void ServiceSimulation::deliver(bool PrivateLink,
                                const std::function<void()> &Event) {
  if (chance(PrivateLink ? Options.LossPercent / 2 : Options.LossPercent))
    return;
  const uint64_t Longest = PrivateLink ? 3000 : 40000;
  schedule(base::Duration(static_cast<int64_t>(100 + below(Longest))), Event);
  if (!PrivateLink && chance(Options.DuplicatePercent))
    schedule(base::Duration(static_cast<int64_t>(100 + below(Longest * 5))),
             Event);
}

void ServiceSimulation::sendToAgent(uint16_t Caller, const Bytes &Datagram) {
  messages::Forward Packet;
  Packet.Service = base::serviceIdOf("shopdesk");
  Packet.Bucket = Caller % SimulatedBuckets;
  Packet.Caller = callerAddress(Caller);
  Packet.Ingress = {0x0a090001, 7000};
  Packet.Payload = Datagram;
  deliver(false, [this, Packet] {
    // Balancers with an outdated table send some packets to the wrong agent.
    Agent &To =
        Agents[chance(5) ? below(Agents.size()) : OwnerOf[Packet.Bucket]];
    To.Core->onCaller(Packet, To.Authority[Packet.Bucket], Now, Out);
    perform(To);
  });
}

void ServiceSimulation::endpointSends(size_t Index, const Bytes &Datagram) {
  deliver(true, [this, Index, Datagram] {
    Agents[Index].Core->onEndpoint(Datagram, Now, Out);
    perform(Agents[Index]);
  });
}

void ServiceSimulation::perform(Agent &From) {
  const Sink Actions = std::move(Out);
  Out.clear();
  for (const Action &Value : Actions) {
    if (const auto *Caller = std::get_if<SendToCaller>(&Value))
      deliver(false, [this, Sent = *Caller] {
        Callers[Sent.Caller.Port - 20000]->receive(Sent.Datagram);
      });
    else if (const auto *Endpoint = std::get_if<SendToEndpoint>(&Value))
      deliver(true, [To = From.Endpoint.get(), Sent = *Endpoint] {
        To->receive(Sent.Datagram);
      });
    else
      performPeer(From, std::get<SendToPeer>(Value));
  }
}

void ServiceSimulation::performPeer(Agent &From, const SendToPeer &Value) {
  Agent &To = Agents[Value.Peer.Value - 1];
  if (const auto *Update =
          std::get_if<messages::RecordUpdate>(&Value.Content)) {
    schedule(10ms, [this, &To, Sent = *Update] { // JSON-RPC is reliable
      To.Core->onRecordUpdate(Sent, Now, Out);
      perform(To);
    });
    return;
  }
  deliver(false, [this, &To, Sender = From.Id, Sent = Value.Content] {
    if (const auto *Packet = std::get_if<messages::Forward>(&Sent))
      To.Core->onCaller(*Packet, To.Authority[Packet->Bucket], Now, Out);
    else if (const auto *Request = std::get_if<messages::RunRequest>(&Sent))
      To.Core->onRunRequest(*Request, Now, Out);
    else
      To.Core->onRunReply(Sender, std::get<messages::RunReply>(Sent), Now, Out);
    perform(To);
  });
}

void ServiceSimulation::setRole(Agent &Target, base::BucketIndex Bucket,
                                BucketRole Role) {
  messages::BucketAuthority &Authority = Target.Authority[Bucket];
  Authority.Role = Role;
  Authority.Owner = Agents[OwnerOf[Bucket]].Id;
  Authority.LeaseEnd = Now.Monotonic + 3600s;
  Target.Core->setAuthority(Bucket, Authority, Now, Out);
  perform(Target);
}

void ServiceSimulation::suspend(Agent &Target) {
  for (auto &[Bucket, Authority] : Target.Authority)
    if (Authority.Role == BucketRole::Owner && !Moving.contains(Bucket)) {
      setRole(Target, Bucket, BucketRole::Suspended);
      schedule(2s, [this, &Target, Number = Bucket] {
        if (Target.Authority[Number].Role == BucketRole::Suspended)
          setRole(Target, Number, BucketRole::Owner);
      });
    }
}

void ServiceSimulation::handover(base::BucketIndex Bucket) {
  Agent &Old = Agents[OwnerOf[Bucket]];
  if (Options.Agents < 2 || Old.Authority[Bucket].Role != BucketRole::Owner ||
      !Moving.insert(Bucket).second)
    return;
  const size_t NewIndex = (OwnerOf[Bucket] + 1) % Options.Agents;
  Old.Core->freezeBucket(Bucket);
  schedule(200ms, [this, &Old, Bucket, NewIndex] {
    Agent &New = Agents[NewIndex];
    const auto Snapshot =
        Old.Core->exportBucket(Bucket, New.Id, Epochs[Bucket]++, Now);
    OwnerOf[Bucket] = NewIndex;
    setRole(Old, Bucket, BucketRole::NotOwner);
    setRole(New, Bucket, BucketRole::Pending);
    schedule(30ms, [this, &Old, &New, Bucket, Snapshot] {
      New.Core->importBucket(Snapshot, Now, Out);
      perform(New);
      setRole(New, Bucket, BucketRole::Provisional);
      Old.Core->dropBucket(Bucket);
      schedule(100ms, [this, &New, Bucket] {
        setRole(New, Bucket, BucketRole::Owner);
        Moving.erase(Bucket);
      });
    });
  });
}

void ServiceSimulation::everySecond(int Second) {
  for (Agent &Target : Agents) {
    if (chance(Options.RestartPercent))
      Target.Endpoint->restart(base::Duration(1000LL * below(15000)));
    if (chance(Options.SuspendPercent))
      suspend(Target);
  }
  if (chance(Options.HandoverPercent))
    handover(static_cast<base::BucketIndex>(below(SimulatedBuckets)));
  for (const auto &Caller : Callers) {
    if (Second == 1)
      Caller->subscribe();
    if (chance(60))
      Caller->get();
    if (chance(60))
      Caller->post();
  }
  if (chance(50)) {
    ++LatestUpdate;
    for (Agent &Target : Agents)
      Target.Endpoint->publish();
  }
}

void ServiceSimulation::runUntil(base::TimePoint End) {
  while (true) {
    base::TimePoint Next = Events.empty() ? base::Never : Events.begin()->first;
    for (const Agent &Entry : Agents)
      Next = std::min(Next, Entry.Core->nextDeadline());
    if (Next > End)
      return;
    Now.Monotonic = std::max(Now.Monotonic, Next);
    Now.Wall.Milliseconds =
        StartWall + (Now.Monotonic - (base::TimePoint{} + 1000s)) / 1ms;
    for (Agent &Entry : Agents)
      if (Entry.Core->nextDeadline() <= Now.Monotonic) {
        Entry.Core->tick(Now, Out);
        perform(Entry);
      }
    if (!Events.empty() && Events.begin()->first <= Now.Monotonic) {
      const auto Event = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Event();
    }
  }
}

void ServiceSimulation::run() {
  for (int Second = 1; Second <= 60; ++Second)
    schedule(Second * 1s, [this, Second] { everySecond(Second); });
  // A notification that needs both rounds of retransmissions takes up to 186 s,
  // and several of them may be queued for one caller.
  runUntil(Now.Monotonic + 600s);
}

} // namespace burdockstream::requests
