#include "PolicySimulation.h"

#include "burdockstream/base/Hash.h"
#include "burdockstream/coap/CoapMessage.h"

#include <algorithm>

namespace burdockstream::bench {

using namespace std::chrono_literals;
using records::WorkClass;

namespace {

constexpr int64_t StartWallMilliseconds = 1'000'000'000;
constexpr base::TimePoint StartTime = base::TimePoint{} + 1000s;
constexpr base::Duration EndpointLatency = 100us; // within a VM
constexpr base::Duration PeerLatency = 5ms;       // between failure domains
constexpr base::Duration ReportInterval = 1s; // load announcements, section 7
// A multiple of the mean that is practically never drawn.
constexpr double NoTruncation = 100;
// A move costs a round trip between agents, which this exceeds.
constexpr base::Duration MinMoveWait = 12ms;

records::ServiceConfig serviceConfig(const SimulationOptions &Options) {
  records::ServiceConfig Config;
  Config.Service = "shopdesk";
  Config.Id = base::serviceIdOf(Config.Service);
  Config.SlotsPerEndpoint = Options.Slots;
  Config.ConnectionsPerEndpoint = 1'000'000;
  Config.Classes = {{"/short", WorkClass::Short, true, Options.Load.ShortMean},
                    {"/long", WorkClass::Long, true, Options.Load.LongMean}};
  return Config;
}

messages::Bytes encode(const coap::CoapMessage &Message) {
  return coap::serializeMessage(Message).value();
}

messages::Bytes encodeToken(uint64_t Job) {
  messages::Bytes Token;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Token.push_back(static_cast<uint8_t>(Job >> Shift));
  return Token;
}

uint64_t decodeToken(const messages::Bytes &Token) {
  uint64_t Job = 0;
  for (const auto Byte : Token)
    Job = Job << 8 | static_cast<uint8_t>(Byte);
  return Job;
}

coap::CoapMessage makeRequest(uint64_t Index, const Job &Item, base::Now Now) {
  coap::CoapMessage Message;
  // Non-confirmable, so that the callers need not handle acknowledgments.
  Message.Type = coap::MessageType::NonConfirmable;
  Message.MessageCode = coap::Code::Get;
  Message.Token = encodeToken(Index);
  Message.Path = {Item.Class == WorkClass::Short ? "short" : "long",
                  std::to_string(Index)};
  const auto Limit = std::chrono::floor<std::chrono::milliseconds>(
      Item.Deadline - Item.Arrived);
  Message.Query = {"dl=" +
                   std::to_string(Now.Wall.Milliseconds + Limit.count())};
  return Message;
}

} // namespace

// An agent with the endpoint that it serves.
struct PolicySimulation::Agent {
  base::DaemonId Id;
  std::unique_ptr<requests::RequestCore> Core;
  SimulatedEndpoint Endpoint;
  // Maps the message IDs of the core's requests to the endpoint to jobs.
  std::map<uint16_t, uint64_t> JobByMessage;
  requests::LoadView ReportedLoad;
  uint16_t NextMessageId = 1;
  messages::BucketAuthority Authority;
};

PolicySimulation::PolicySimulation(SimulationOptions InitOptions)
    : Options(std::move(InitOptions)), Random(Options.Seed),
      CoreRandom(Options.Seed + 1),
      MoveRandom(Options.Seed + 2), Now{StartTime, {StartWallMilliseconds}} {
  std::vector<routing::TableMember> Members;
  for (size_t Index = 0; Index < Options.Agents; ++Index) {
    addAgent(Index);
    Members.push_back({{Index + 1}, {0x0a000001, 6000}, 100});
  }
  const base::ServiceId Service = base::serviceIdOf("shopdesk");
  FullTable = routing::BucketTable::build(Service, 256, Members);
  Members.resize(Options.Agents - Options.ColdAgents);
  InitialTable = routing::BucketTable::build(Service, 256, Members);
  NextMessageId.resize(Options.Load.FlowsPerAgent * Options.Agents, 1);
}

PolicySimulation::~PolicySimulation() = default;

void PolicySimulation::addAgent(size_t Index) {
  const bool Cold = Index >= Options.Agents - Options.ColdAgents;
  auto New = std::make_unique<Agent>(
      Agent{{Index + 1},
            nullptr,
            SimulatedEndpoint(Options.Slots, Options.EndpointQueue, Cold),
            {},
            {},
            1,
            {}});
  requests::Settings Config;
  Config.Self = New->Id;
  if (Options.Policy.PickNext)
    Config.Policy = Options.Policy;
  Config.MoveAttempts = Options.MoveAttempts;
  requests::Hooks Callbacks;
  if (Options.Moves != MoveRule::Never)
    Callbacks.ChoosePeer = [this, Index](const requests::MoveQuery &Query) {
      return choosePeer(Index, Query);
    };
  New->Core =
      std::make_unique<requests::RequestCore>(Config, Callbacks, CoreRandom);
  New->Core->configure(serviceConfig(Options));
  New->Authority.Role = messages::BucketRole::Owner;
  New->Authority.Owner = New->Id;
  New->Authority.LeaseEnd = Now.Monotonic + 36000s;
  New->Core->setAuthority(0, New->Authority, Now, Out);
  Agents.push_back(std::move(New));
}

void PolicySimulation::schedule(base::Duration Delay,
                                std::function<void()> Event) {
  Events.emplace(Now.Monotonic + Delay, std::move(Event));
}

size_t PolicySimulation::agentIndexOf(uint64_t Flow) const {
  const bool BeforeColdStart = Now.Monotonic < StartTime + Options.ColdStart;
  const auto &Table = BeforeColdStart ? InitialTable : FullTable;
  const auto Bucket =
      static_cast<base::BucketIndex>(base::hashPair(Flow, 7, 1) % 256);
  return Table.owner(Bucket)->Id.Value - 1;
}

void PolicySimulation::generateArrival() {
  const Workload &Load = Options.Load;
  const base::Duration Elapsed = Now.Monotonic - StartTime;
  if (Elapsed >= Load.Length)
    return;
  Job Item;
  const bool Long = static_cast<double>(base::randomBelow(Random, 1'000'000)) <
                    Load.LongFraction * 1e6;
  Item.Class = Long ? WorkClass::Long : WorkClass::Short;
  Item.Arrived = Now.Monotonic;
  Item.Deadline = Now.Monotonic + (Long ? Load.LongTimeout : Load.ShortTimeout);
  Item.RunTime = drawExponential(Random, Long ? Load.LongMean : Load.ShortMean);
  Jobs.push_back(Item);
  submit(Jobs.size() - 1);
  const base::Duration Mean(
      static_cast<int64_t>(1e6 / Load.ArrivalRate(Elapsed)));
  schedule(drawExponential(Random, Mean, NoTruncation),
           [this] { generateArrival(); });
}

void PolicySimulation::submit(uint64_t Index) {
  const uint64_t Flow = base::randomBelow(Random, NextMessageId.size());
  Agent &To = *Agents[agentIndexOf(Flow)];
  coap::CoapMessage Message = makeRequest(Index, Jobs[Index], Now);
  Message.MessageId = NextMessageId[Flow]++;
  if (Options.Kind == AgentKind::Direct) {
    deliverToEndpoint(To, encode(Message));
    return;
  }
  messages::Forward Packet;
  Packet.Service = base::serviceIdOf("shopdesk");
  Packet.Bucket = 0;
  Packet.Caller = {static_cast<uint32_t>(0x0a010000 + Flow), 20000};
  Packet.Ingress = {0x0a090001, 7000};
  Packet.Payload = encode(Message);
  To.Core->onCaller(Packet, To.Authority, Now, Out);
  performActions(To);
}

void PolicySimulation::performActions(Agent &From) {
  const requests::Sink Actions = std::move(Out);
  Out.clear();
  for (const requests::Action &Value : Actions) {
    if (const auto *Caller = std::get_if<requests::SendToCaller>(&Value))
      deliverToCaller(*Caller);
    else if (const auto *Local = std::get_if<requests::SendToEndpoint>(&Value))
      schedule(EndpointLatency, [this, &From, Sent = Local->Datagram] {
        deliverToEndpoint(From, Sent);
      });
    else
      sendToPeer(From, std::get<requests::SendToPeer>(Value));
  }
}

void PolicySimulation::sendToPeer(Agent &From,
                                  const requests::SendToPeer &Value) {
  Agent &To = *Agents[Value.Peer.Value - 1];
  schedule(PeerLatency, [this, &To, Sender = From.Id, Sent = Value.Content] {
    if (const auto *Request = std::get_if<messages::RunRequest>(&Sent))
      To.Core->onRunRequest(*Request, Now, Out);
    else if (const auto *Reply = std::get_if<messages::RunReply>(&Sent))
      To.Core->onRunReply(Sender, *Reply, Now, Out);
    performActions(To);
  });
}

void PolicySimulation::deliverToCaller(const requests::SendToCaller &Value) {
  const auto Message = coap::parseMessage(Value.Datagram).value();
  if (!coap::isResponse(Message.MessageCode))
    return;
  Job &Item = Jobs[decodeToken(Message.Token)];
  if (Item.Result != Outcome::Pending)
    return;
  Item.Result = Message.MessageCode == coap::Code::Content ? Outcome::Answered
                                                           : Outcome::Refused;
  Item.Ended = Now.Monotonic;
}

void PolicySimulation::deliverToEndpoint(Agent &From,
                                         const messages::Bytes &Datagram) {
  const auto Message = coap::parseMessage(Datagram).value();
  if (Message.Type == coap::MessageType::Reset) {
    if (const auto Found = From.JobByMessage.find(Message.MessageId);
        Found != From.JobByMessage.end())
      From.Endpoint.cancel(Found->second);
    startWaitingJobs(From);
    return;
  }
  if (!coap::isRequest(Message.MessageCode))
    return;
  const uint64_t Index = std::stoull(Message.Path.at(1));
  coap::CoapMessage Reply;
  Reply.Type = coap::MessageType::Acknowledgement;
  Reply.MessageId = Message.MessageId;
  From.JobByMessage[Message.MessageId] = Index;
  TokenByJob[Index] = Message.Token;
  if (From.Endpoint.tryAccept(Index)) {
    deliverFromEndpoint(From, Reply); // the response follows separately
    startWaitingJobs(From);
    return;
  }
  Reply.MessageCode = coap::Code::ServiceUnavailable;
  Reply.Token = Message.Token;
  deliverFromEndpoint(From, Reply);
}

void PolicySimulation::startWaitingJobs(Agent &Host) {
  StartedJob Next;
  while (Host.Endpoint.startNext(Next)) {
    Job &Item = Jobs[Next.Job];
    if (!Item.Started)
      Item.Started = Now.Monotonic;
    schedule(Item.RunTime * Next.Slowdown, [this, &Host, Index = Next.Job] {
      if (!Host.Endpoint.finish(Index))
        return;
      coap::CoapMessage Response;
      Response.Type = coap::MessageType::NonConfirmable;
      Response.MessageCode = coap::Code::Content;
      Response.MessageId = Host.NextMessageId++;
      Response.Token = TokenByJob[Index];
      deliverFromEndpoint(Host, Response);
      startWaitingJobs(Host);
    });
  }
}

void PolicySimulation::deliverFromEndpoint(Agent &Host,
                                           const coap::CoapMessage &Message) {
  if (Options.Kind == AgentKind::Direct) {
    deliverToCaller({{}, {}, encode(Message)});
    return;
  }
  schedule(EndpointLatency, [this, &Host, Datagram = encode(Message)] {
    Host.Core->onEndpoint(Datagram, Now, Out);
    performActions(Host);
  });
}

void PolicySimulation::reportLoads() {
  for (const auto &Entry : Agents)
    Entry->ReportedLoad = Entry->Core->load(Now);
  if (Now.Monotonic < StartTime + Options.Load.Length)
    schedule(ReportInterval, [this] { reportLoads(); });
}

// Picks a random peer among those that reported a free slot for the class. If
// there is none, short requests go to any peer and long ones are not moved.
// Reports are up to ReportInterval old, so the chosen peer may still refuse.
std::optional<base::DaemonId>
PolicySimulation::choosePeer(size_t Self, const requests::MoveQuery &Query) {
  const bool Long = Query.Class == WorkClass::Long;
  if (Query.PredictedWait < MinMoveWait ||
      (Options.Moves == MoveRule::Short && Long))
    return std::nullopt;
  std::vector<base::DaemonId> Free;
  std::vector<base::DaemonId> Others;
  for (size_t Index = 0; Index < Agents.size(); ++Index) {
    if (Index == Self)
      continue;
    const requests::LoadView &View = Agents[Index]->ReportedLoad;
    const bool Waits = Long ? View.Queued > 0 : View.PredictedWait.count() > 0;
    const bool IsFree = !Waits && View.Running < View.SlotLimit;
    (IsFree ? Free : Others).push_back(Agents[Index]->Id);
  }
  if (Free.empty() && Long)
    return std::nullopt;
  const auto &Candidates = Free.empty() ? Others : Free;
  return Candidates[base::randomBelow(MoveRandom, Candidates.size())];
}

void PolicySimulation::advanceTo(base::TimePoint Time) {
  Now.Monotonic = std::max(Now.Monotonic, Time);
  Now.Wall.Milliseconds =
      StartWallMilliseconds + (Now.Monotonic - StartTime) / 1ms;
}

void PolicySimulation::runUntil(base::TimePoint End) {
  while (true) {
    base::TimePoint Next = Events.empty() ? base::Never : Events.begin()->first;
    for (const auto &Entry : Agents)
      Next = std::min(Next, Entry->Core->nextDeadline());
    if (Next > End)
      return;
    advanceTo(Next);
    for (const auto &Entry : Agents)
      if (Entry->Core->nextDeadline() <= Now.Monotonic) {
        Entry->Core->tick(Now, Out);
        performActions(*Entry);
      }
    if (!Events.empty() && Events.begin()->first <= Now.Monotonic) {
      const auto Event = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Event();
    }
  }
}

std::vector<Job> PolicySimulation::run() {
  generateArrival();
  reportLoads();
  const Workload &Load = Options.Load;
  runUntil(StartTime + Load.Length +
           std::max(Load.ShortTimeout, Load.LongTimeout) + 30s);
  return std::move(Jobs);
}

} // namespace burdockstream::bench
