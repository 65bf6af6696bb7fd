#include "SoakParts.h"

#include "PlatformPackets.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/network/LoopTimer.h"
#include "burdockstream/testing/PlatformPacketWriter.h"

#include <algorithm>
#include <glib.h>
#include <glog/logging.h>

namespace burdockstream::flowsoak {

using testing::AckFlag;
using testing::FinFlag;
using testing::isIntact;
using testing::requestOf;
using testing::SynFlag;

namespace {

constexpr int64_t RequestPauseMs = 120;
constexpr int64_t SynWaitMs = 1'400;
constexpr int64_t FirstWaitMs = 200; // before a packet is sent again
constexpr int64_t LongestWaitMs = 1'600;
constexpr int MaxAttempts = 3; // at opening a short flow

int64_t nowMs() { return g_get_monotonic_time() / 1000; }

bool isBefore(const flows::FlowKey &A, const flows::FlowKey &B) {
  return std::pair(A.Client, A.Service) < std::pair(B.Client, B.Service);
}

std::unique_ptr<network::UdpSocket> openSocket(base::SocketAddress Address) {
  auto Opened = network::UdpSocket::open(Address);
  CHECK(Opened.has_value()) << Opened.error().Message;
  return std::move(Opened.value());
}

} // namespace

SoakTarget::SoakTarget(size_t InitIndex, std::string InitService,
                       base::SocketAddress InitServiceAddress,
                       std::chrono::milliseconds InitWorkTime,
                       Violations &InitFound)
    : Index(InitIndex), Service(std::move(InitService)),
      ServiceAddress(InitServiceAddress), WorkTime(InitWorkTime),
      Found(InitFound), Codec(platform::packetCodec()),
      Socket(openSocket(place(2, Index, TargetPort))),
      Health([this](const http::ServerRequest &,
                    const std::shared_ptr<http::Responder> &Out) {
        if (Running)
          Out->send({200, "text/plain", "ok"});
        else
          Out->abort(); // libsoup does not survive closing and listening again
      }),
      Accepted(isBefore), Held(isBefore) {
  CHECK(Health.listen(place(2, Index, TargetPort)).has_value());
  Socket->attach(nullptr, [this](std::span<uint8_t> Bytes,
                                 base::SocketAddress) { onPacket(Bytes); });
}

void SoakTarget::end() {
  Running = false;
  Accepted.clear();
  Held.clear();
}

void SoakTarget::startAnew() {
  Running = true;
  Draining = false;
  DrainAckedAtMs = 0;
  Sequence = 0;
  SlotFreeAtMs.fill(0);
  ++Born;
}

void SoakTarget::beat() {
  if (!Running)
    return;
  Json::Value Body;
  Body["service"] = Service;
  Body["address"] = base::toString(place(2, Index, TargetPort));
  Body["zone"] = "z";
  Body["version"] = "v1";
  Body["max_concurrency"] = Json::UInt64(Slots);
  Body["state"] = Draining ? "draining" : "ready";
  Body["warmup_remaining_ms"] = 0;
  Body["sequence"] = Json::UInt64(++Sequence);
  Body["born"] = Json::Int64(1000 + Born);
  const std::string Url = "http://" +
                          base::toString(place(2, Index, HeartbeatPort)) +
                          "/api/Endpoints.Heartbeat/i-" + std::to_string(Index);
  // libsoup sends each POST on a new connection; those of a large fleet must
  // not stay open, since the loop polls all of them.
  Client.send({Url,
               base::compactJson(Body),
               {{"Connection", "close"}},
               std::chrono::seconds(1)},
              [this, Says = Draining,
               Run = Born](const base::Result<http::HttpResponse> &Answer) {
                if (Says && Run == Born && DrainAckedAtMs == 0 &&
                    Answer.has_value() && Answer.value().Status == 200)
                  DrainAckedAtMs = nowMs();
              });
}

void SoakTarget::onPacket(std::span<uint8_t> Bytes) {
  if (!Running)
    return;
  const auto Packet = Codec.Decode(Bytes, flows::Sender::Client);
  if (!Packet || !isIntact(Bytes) || Packet->Returned) {
    Found.push_back("a target got a packet that its client did not write so");
    return;
  }
  if (Packet->Opens && Packet->Flow.Service != ServiceAddress) {
    Found.push_back("an opening packet reached a target of another service: " +
                    flows::toString(Packet->Flow) + " at " +
                    std::to_string(Index));
    return;
  }
  if (Packet->Opens && DrainAckedAtMs != 0 &&
      Accepted.count(Packet->Flow) == 0 &&
      nowMs() - DrainAckedAtMs > DrainBoundMs)
    Found.push_back("an opening packet reached a target that leaves");
  if (Packet->Opens)
    Openings += Accepted.insert(Packet->Flow).second ? 1 : 0;
  else if (Accepted.count(Packet->Flow) != 0 &&
           Packet->Acknowledged == sequence())
    Held.try_emplace(Packet->Flow);
  if (!Packet->Opens && !holds(Packet->Flow)) {
    testing::markReturned(Bytes);
    Socket->send(Bytes, place(2, Index, OutboundPort));
    return;
  }
  serve(*Packet, requestOf(Bytes));
}

void SoakTarget::serve(const flows::Packet &Packet, uint32_t Request) {
  if (Packet.Opens)
    return send(Packet.Flow, SynFlag | AckFlag, 0);
  if (Packet.Finishes) {
    Accepted.erase(Packet.Flow);
    Held.erase(Packet.Flow);
    return send(Packet.Flow, AckFlag, 0);
  }
  HeldFlow &Flow = Held[Packet.Flow];
  if (Request > Flow.Taken) {
    Flow.Taken = Request;
    startWork(Packet.Flow, Request);
  } else if (Request != 0 && Request <= Flow.Answered) {
    send(Packet.Flow, AckFlag, Request); // its answer may be lost
  }
}

void SoakTarget::startWork(const flows::FlowKey &Flow, uint32_t Request) {
  int64_t &FreeAtMs =
      *std::min_element(SlotFreeAtMs.begin(), SlotFreeAtMs.end());
  const int64_t Now = nowMs();
  FreeAtMs = std::max(FreeAtMs, Now) + WorkTime.count();
  network::callLater(
      std::chrono::milliseconds(FreeAtMs - Now),
      [this, Flow, Request, Run = Born, Alive = std::weak_ptr(LifetimeToken)] {
        if (Alive.expired() || !Running || Run != Born)
          return;
        Held[Flow].Answered = Request;
        send(Flow, AckFlag, Request);
      });
}

void SoakTarget::send(const flows::FlowKey &Flow, uint8_t Flags,
                      uint32_t Request) {
  const uint8_t End = Request == LastRequest ? FinFlag : 0;
  Socket->send(testing::writePacket({Flow.Service, Flow.Client,
                                     static_cast<uint8_t>(Flags | End),
                                     Request * 4, Request, 4, sequence()}),
               place(2, Index, OutboundPort));
}

SoakClients::SoakClients(
    size_t Count, std::vector<base::SocketAddress> InitServices,
    std::function<base::SocketAddress(const flows::FlowKey &)> InitRoute,
    std::function<bool(const flows::FlowKey &)> InitIsHeld,
    Violations &InitFound)
    : Services(std::move(InitServices)), Route(std::move(InitRoute)),
      IsHeld(std::move(InitIsHeld)), Found(InitFound),
      Codec(platform::packetCodec()),
      Socket(openSocket(place(3, 0, DataPort))) {
  for (size_t I = 0; I < Count; ++I)
    add(I, false);
  Socket->attach(nullptr,
                 [this](std::span<uint8_t> Bytes, base::SocketAddress Sender) {
                   onPacket(Bytes, Sender);
                 });
}

void SoakClients::add(size_t Index, bool Short) {
  SoakFlow &Flow = Flows.emplace_back();
  Flow.Key.Service = Services[Index % Services.size()];
  Flow.Short = Short;
  Flow.LastAnswerMs = nowMs();
  reopen(Flow);
}

void SoakClients::openShort(size_t Count) {
  for (size_t I = 0; I < Count && !Finishing; ++I)
    add(I, true);
}

void SoakClients::finish() {
  Finishing = true;
  for (SoakFlow &Flow : Flows)
    if (Flow.State == SoakFlowState::Opening)
      Flow.State = SoakFlowState::Ended;
}

void SoakClients::reopen(SoakFlow &Flow) {
  IndexByPort.erase(Flow.Key.Client.Port);
  do
    LastPort = LastPort == UINT16_MAX ? FirstPort : LastPort + 1;
  while (IndexByPort.count(LastPort) != 0);
  IndexByPort[LastPort] = static_cast<size_t>(&Flow - Flows.data());
  Flow.Key.Client = {place(3, 0, 0).Ip, LastPort};
  Flow.State = SoakFlowState::Opening;
  Flow.Copies = 0;
  Flow.Request = 0;
  Flow.SentAtMs = nowMs();
  ++Flow.Attempts;
  send(Flow, SynFlag, 0, 0);
}

// Opens the flow again, unless its client has given up.
void SoakClients::retry(SoakFlow &Flow) {
  if (Finishing || (Flow.Short && Flow.Attempts >= MaxAttempts)) {
    IndexByPort.erase(Flow.Key.Client.Port);
    Flow.State = SoakFlowState::Ended;
  } else {
    reopen(Flow);
  }
}

void SoakClients::send(const SoakFlow &Flow, uint8_t Flags,
                       uint32_t Acknowledged, uint32_t Request) {
  Socket->send(testing::writePacket({Flow.Key.Client, Flow.Key.Service, Flags,
                                     Acknowledged, Request}),
               Route(Flow.Key));
}

void SoakClients::tick() {
  for (SoakFlow &Flow : Flows) {
    if (Flow.State == SoakFlowState::Opening)
      tickOpening(Flow);
    else if (Flow.State == SoakFlowState::Open)
      tickOpen(Flow);
    else if (Flow.State == SoakFlowState::Closing &&
             nowMs() - Flow.SentAtMs > FirstWaitMs)
      sendEnd(Flow);
  }
}

void SoakClients::tickOpening(SoakFlow &Flow) {
  constexpr int64_t CopyAfterMs[] = {200, 600};
  const int64_t Waited = nowMs() - Flow.SentAtMs;
  if (Waited > SynWaitMs)
    retry(Flow);
  else if (Flow.Copies < 2 && Waited > CopyAfterMs[Flow.Copies])
    send(Flow, SynFlag, static_cast<uint32_t>(++Flow.Copies), 0);
}

void SoakClients::tickOpen(SoakFlow &Flow) {
  const int64_t Now = nowMs();
  const bool Answered = Flow.LastAnswerMs >= Flow.SentAtMs;
  if (Answered && Now - Flow.LastAnswerMs > RequestPauseMs) {
    Flow.Request = Finishing ? LastRequest : Flow.Request + 1;
    Flow.WaitMs = FirstWaitMs;
  } else if (Answered || Now - Flow.SentAtMs < Flow.WaitMs) {
    return;
  } else {
    Flow.WaitMs = std::min(2 * Flow.WaitMs, LongestWaitMs);
  }
  Flow.SentAtMs = Now;
  send(Flow, AckFlag, Flow.Acknowledged, Flow.Request);
}

void SoakClients::sendEnd(SoakFlow &Flow) {
  Flow.SentAtMs = nowMs();
  send(Flow, AckFlag | FinFlag, Flow.Acknowledged, 0);
}

void SoakClients::onPacket(std::span<uint8_t> Bytes,
                           base::SocketAddress Sender) {
  const auto Packet = Codec.Decode(Bytes, flows::Sender::Target);
  if (!Packet) {
    Found.push_back("a client got bytes that are no packet");
    return;
  }
  const auto Known = IndexByPort.find(Packet->Flow.Client.Port);
  if (Known == IndexByPort.end() || Flows[Known->second].Key != Packet->Flow)
    return; // of an earlier flow of the same client
  SoakFlow &Flow = Flows[Known->second];
  if (Packet->Aborts)
    return onReset(Flow, *Packet, Sender);
  if (!isIntact(Bytes)) {
    Found.push_back("a client got a packet that its target did not write so");
    return;
  }
  if (Packet->Accepts && Flow.State == SoakFlowState::Opening) {
    Flow.State = SoakFlowState::Open;
    Flow.Acknowledged = Packet->Sequence;
    Flow.Request = Flow.Short ? LastRequest : 1;
    Flow.WaitMs = FirstWaitMs;
    Flow.SentAtMs = nowMs();
    send(Flow, AckFlag, Flow.Acknowledged, Flow.Request);
  } else if (!Packet->Accepts) {
    onAnswer(Flow, *Packet, requestOf(Bytes));
  }
}

void SoakClients::onReset(SoakFlow &Flow, const flows::Packet &Reset,
                          base::SocketAddress Sender) {
  if (Flow.State != SoakFlowState::Opening && IsHeld(Flow.Key))
    Found.push_back(std::to_string(g_get_real_time() / 1000) +
                    ": an open flow was reset although its target holds it: " +
                    flows::toString(Flow.Key) + ", by " + toString(Sender) +
                    " with number " + std::to_string(Reset.Sequence) +
                    ", not " + std::to_string(Flow.Acknowledged));
  retry(Flow);
}

void SoakClients::onAnswer(SoakFlow &Flow, const flows::Packet &Packet,
                           uint32_t Request) {
  if (Request > Flow.Request) {
    Found.push_back("a client got an answer to a request that it did not send");
  } else if (Flow.State == SoakFlowState::Open && Request != 0 &&
             Request == Flow.Request) {
    Flow.LastAnswerMs = nowMs();
    ++Answers;
    if (!Packet.Finishes)
      return;
    Flow.State = SoakFlowState::Closing;
    sendEnd(Flow);
  } else if (Flow.State == SoakFlowState::Closing && !Packet.Finishes &&
             Request == 0) {
    IndexByPort.erase(Flow.Key.Client.Port);
    Flow.State = SoakFlowState::Ended;
  }
}

size_t SoakClients::remaining() const {
  return static_cast<size_t>(
      std::count_if(Flows.begin(), Flows.end(), [](const SoakFlow &Flow) {
        return Flow.State != SoakFlowState::Ended;
      }));
}

size_t SoakClients::unserved(int64_t Ms) const {
  size_t Count = 0;
  for (const SoakFlow &Flow : Flows)
    Count += !Flow.Short && nowMs() - Flow.LastAnswerMs > Ms ? 1 : 0;
  return Count;
}

} // namespace burdockstream::flowsoak
