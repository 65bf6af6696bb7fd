#include "SoakParts.h"

#include "PlatformPackets.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/testing/PlatformPacketWriter.h"

#include <glib.h>
#include <glog/logging.h>

namespace burdockstream::flowsoak {

using testing::AckFlag;
using testing::isIntact;
using testing::requestOf;
using testing::SynFlag;

namespace {

constexpr int64_t RequestPauseMs = 120;
constexpr int64_t SynWaitMs = 1'400;
constexpr int64_t LongestWaitMs = 1'600;

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
                       Violations &InitFound)
    : Index(InitIndex), Service(std::move(InitService)),
      ServiceAddress(InitServiceAddress), Found(InitFound),
      Codec(platform::packetCodec()),
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
  Body["max_concurrency"] = 2;
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
  const base::SocketAddress Back = place(2, Index, OutboundPort);
  if (Packet->Opens && DrainAckedAtMs != 0 &&
      Accepted.count(Packet->Flow) == 0 &&
      nowMs() - DrainAckedAtMs > DrainBoundMs)
    Found.push_back("an opening packet reached a target that leaves");
  if (Packet->Opens)
    Accepted.insert(Packet->Flow);
  else if (Accepted.count(Packet->Flow) != 0 &&
           Packet->Acknowledged == sequence())
    Held.insert(Packet->Flow);
  if (!Packet->Opens && !holds(Packet->Flow)) {
    testing::markReturned(Bytes);
    Socket->send(Bytes, Back);
    return;
  }
  const uint32_t Request = requestOf(Bytes);
  if (Packet->Opens || Request != 0)
    Socket->send(
        testing::writePacket(
            {Packet->Flow.Service, Packet->Flow.Client,
             static_cast<uint8_t>(Packet->Opens ? SynFlag | AckFlag : AckFlag),
             Request * 4, Request, 4, sequence()}),
        Back);
}

SoakClients::SoakClients(
    size_t Count, std::vector<base::SocketAddress> InitServices,
    std::function<base::SocketAddress(const flows::FlowKey &)> InitRoute,
    std::function<bool(const flows::FlowKey &)> InitIsHeld,
    Violations &InitFound)
    : Services(std::move(InitServices)), Route(std::move(InitRoute)),
      IsHeld(std::move(InitIsHeld)), Found(InitFound),
      Codec(platform::packetCodec()), Socket(openSocket(place(3, 0, DataPort))),
      Flows(Count) {
  for (size_t I = 0; I < Count; ++I) {
    Flows[I].Key.Service = Services[I % Services.size()];
    Flows[I].LastAnswerMs = nowMs();
    reopen(Flows[I]);
  }
  Socket->attach(nullptr, [this](std::span<uint8_t> Bytes,
                                 base::SocketAddress) { onPacket(Bytes); });
}

void SoakClients::reopen(SoakFlow &Flow) {
  Flow.Key.Client = {place(3, 0, 0).Ip, ++NextPort};
  Flow.Open = false;
  Flow.Copies = 0;
  Flow.Request = 0;
  Flow.SentAtMs = nowMs();
  send(Flow, SynFlag, 0, 0);
}

void SoakClients::send(const SoakFlow &Flow, uint8_t Flags,
                       uint32_t Acknowledged, uint32_t Request) {
  Socket->send(testing::writePacket({Flow.Key.Client, Flow.Key.Service, Flags,
                                     Acknowledged, Request}),
               Route(Flow.Key));
}

void SoakClients::tick() {
  const int64_t Now = nowMs();
  for (SoakFlow &Flow : Flows) {
    const int64_t Waited = Now - Flow.SentAtMs;
    if (!Flow.Open) {
      constexpr int64_t CopyAfterMs[] = {200, 600};
      if (Waited > SynWaitMs)
        reopen(Flow);
      else if (Flow.Copies < 2 && Waited > CopyAfterMs[Flow.Copies])
        send(Flow, SynFlag, static_cast<uint32_t>(++Flow.Copies), 0);
      continue;
    }
    const bool Answered = Flow.LastAnswerMs >= Flow.SentAtMs;
    if (Answered && Now - Flow.LastAnswerMs > RequestPauseMs) {
      ++Flow.Request;
      Flow.WaitMs = 200;
    } else if (Answered || Waited < Flow.WaitMs) {
      continue;
    } else {
      Flow.WaitMs = std::min(2 * Flow.WaitMs, LongestWaitMs);
    }
    Flow.SentAtMs = Now;
    send(Flow, AckFlag, Flow.Acknowledged, Flow.Request);
  }
}

void SoakClients::onPacket(std::span<uint8_t> Bytes) {
  const auto Packet = Codec.Decode(Bytes, flows::Sender::Target);
  if (!Packet) {
    Found.push_back("a client got bytes that are no packet");
    return;
  }
  SoakFlow *Flow = nullptr;
  for (SoakFlow &Each : Flows)
    if (Each.Key == Packet->Flow)
      Flow = &Each;
  if (!Flow)
    return; // of an earlier flow of the same client
  if (Packet->Aborts) {
    if (Flow->Open && IsHeld(Flow->Key))
      Found.push_back(
          std::to_string(g_get_real_time() / 1000) +
          ": an open flow was reset although its target holds it: " +
          flows::toString(Flow->Key));
    return reopen(*Flow);
  }
  if (!isIntact(Bytes)) {
    Found.push_back("a client got a packet that its target did not write so");
    return;
  }
  if (Packet->Accepts && !Flow->Open) {
    Flow->Open = true;
    Flow->Acknowledged = Packet->Sequence;
    Flow->Request = 1;
    Flow->WaitMs = 200;
    Flow->SentAtMs = nowMs();
    send(*Flow, AckFlag, Flow->Acknowledged, Flow->Request);
  } else if (requestOf(Bytes) == Flow->Request && Flow->Request != 0) {
    Flow->LastAnswerMs = nowMs();
    ++Answers;
  } else if (requestOf(Bytes) > Flow->Request) {
    Found.push_back("a client got an answer to a request that it did not send");
  }
}

size_t SoakClients::unserved(int64_t Ms) const {
  size_t Count = 0;
  for (const SoakFlow &Flow : Flows)
    Count += nowMs() - Flow.LastAnswerMs > Ms ? 1 : 0;
  return Count;
}

} // namespace burdockstream::flowsoak
