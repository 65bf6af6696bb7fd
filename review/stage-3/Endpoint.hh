// An endpoint after the platform's page: it holds flows, works on requests in
// its slots, returns packets of flows that it does not hold, and sends pings.
#ifndef STAGE_ENDPOINT_HH
#define STAGE_ENDPOINT_HH

#include "Http.hh"
#include "Packet.hh"
#include "Record.hh"

#include <optional>

namespace stage {

struct EndpointOptions {
  size_t Index = 0;
  std::string Service;
  std::string Zone;
  Address App, Outbound, Pings;
  uint64_t Seed = 0;
  int Slots = 2;
  int64_t PingMs = 1200;
  // 0: it keeps idle flows open.
  int64_t IdleCloseMs = 0;
  int64_t ColdMs = 0; // after its start
};

class Endpoint {
public:
  Endpoint(Loop &InitLoop, Record &InitLog, EndpointOptions InitOptions)
      : Events(InitLoop), Log(InitLog), Own(std::move(InitOptions)),
        Random(mix(Own.Seed + Own.Index)),
        Socket(Events, Own.App,
               [this](const Bytes &Data) { onDatagram(Data); }),
        Health(Events, Own.App,
               [this](const Request &, const Out &To) {
                 To->answer(Draining ? 503 : 200, "{}");
               }),
        SlotFreeAt(static_cast<size_t>(Own.Slots)) {
    StartedAt = nowMs();
    Born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    // Each endpoint starts its pings at another moment.
    later(static_cast<int64_t>(Random % 200), [this] { ping(); });
    later(50, [this] { tick(); });
  }
  Endpoint(const Endpoint &) = delete;
  Endpoint &operator=(const Endpoint &) = delete;

  void drain() { Draining = true; }

  // Whether it holds, open, the flow that its client started at ClientStart.
  bool holdsOpen(const FlowKey &Key, uint32_t ClientStart) const {
    const auto Found = Flows.find(Key);
    return Found != Flows.end() && Found->second.Open &&
           Found->second.ClientStart == ClientStart;
  }
  const EndpointOptions &options() const { return Own; }
  // Times at which it took opening packets of new flows.
  const std::vector<int64_t> &openings() const { return Openings; }
  bool isCold() const { return nowMs() - StartedAt < Own.ColdMs; }
  int64_t startedAt() const { return StartedAt; }
  uint64_t foreignPackets() const { return Returned; }

private:
  // Runs Action after Ms, unless the endpoint has ended by then.
  void later(int64_t Ms, std::function<void()> Run) {
    Events.after(Ms, [Alive = std::weak_ptr(Lifetime), Run = std::move(Run)] {
      if (!Alive.expired())
        Run();
    });
  }

  struct Flow {
    uint32_t ClientStart = 0, Start = 0; // numbers of the opening packets
    uint32_t Expected = 0;               // next of the client
    uint32_t Next = 0;                   // next of its own
    uint32_t AckedByClient = 0;
    bool Open = false, Finished = false, FinishedByClient = false;
    std::optional<Packet> Unacked; // answer or end, sent again until acked
    int64_t SentAt = 0, WaitMs = 200, LastUse = 0;
    int Again = 0;
    bool Working = false;
  };

  void send(Packet Out) { Socket.send(Out.seal(), Own.Outbound); }
  Packet from(const FlowKey &Key, const Flow &Each, uint8_t Flags) const {
    Packet Out;
    Out.From = Key.Route;
    Out.To = Key.Client;
    Out.Flags = Flags;
    Out.Seq = Each.Next;
    Out.Acked = Each.Expected;
    return Out;
  }

  void onDatagram(const Bytes &Data) {
    Packet In;
    if (!Packet::read(Data, In) || !In.isIntact() || In.has(Bounced))
      return Log.violation("UNASKED", "endpoint " + std::to_string(Own.Index) +
                                          " got a packet that no client wrote");
    const FlowKey Key{In.From, In.To};
    if (In.has(Syn))
      return onOpening(Key, In);
    if (const auto Found = Flows.find(Key);
        Found != Flows.end() && belongs(In, Found->second))
      return onPacket(Key, Found->second, In);
    if (const auto Found = Ended.find(Key);
        Found != Ended.end() && belongs(In, Found->second))
      return onEnded(Key, Found->second, In);
    giveBack(In);
  }

  // A packet of a flow that has ended here.
  void onEnded(const FlowKey &Key, const Flow &Each, const Packet &In) {
    if (!In.Data.empty()) {
      Packet Out = from(Key, Each, Rst | Ack);
      Out.Seq = In.Acked;
      send(Out);
    } else if (In.has(Fin)) {
      send(from(Key, Each, Ack));
    }
  }

  // Whether the packet acknowledges numbers that it has used in this flow.
  static bool belongs(const Packet &In, const Flow &Each) {
    return In.Acked - (Each.Start + 1) <= Each.Next - (Each.Start + 1);
  }

  void giveBack(Packet In) {
    ++Returned;
    In.Flags |= Bounced;
    In.Pad = 0;
    Socket.send(In.write(), Own.Outbound);
  }

  void onOpening(const FlowKey &Key, const Packet &In) {
    const auto Found = Flows.find(Key);
    const bool Known =
        Found != Flows.end() && Found->second.ClientStart == In.Seq;
    if (!Known) {
      Flow &New = Flows[Key] = Flow();
      Random = mix(Random);
      New.ClientStart = In.Seq;
      New.Expected = In.Seq + 1;
      New.Start = New.Next = static_cast<uint32_t>(Random);
      New.LastUse = nowMs();
      Openings.push_back(nowMs());
    }
    Flow &Each = Flows[Key];
    Packet Out = from(Key, Each, Syn | Ack);
    Out.Seq = Each.Start;
    if (!Known)
      Each.Next = Each.Start + 1;
    send(Out);
  }

  void onPacket(const FlowKey &Key, Flow &Each, const Packet &In) {
    Each.LastUse = nowMs();
    if (!Each.Open) {
      Each.Open = true;
      Log.line("endpoint " + std::to_string(Own.Index) + " holds " +
               Key.text());
    }
    if (Each.Unacked && In.Acked == Each.Next)
      Each.Unacked.reset();
    if (In.has(Rst)) {
      Flows.erase(Key);
      return;
    }
    if (In.has(Fin) && In.Seq == Each.Expected) {
      Each.FinishedByClient = true;
      ++Each.Expected;
      send(from(Key, Each, Ack));
      if (!Each.Finished)
        finish(Key, Each);
    } else if (!In.Data.empty() && In.Seq == Each.Expected) {
      Each.Expected += static_cast<uint32_t>(In.Data.size());
      work(Key, Each, In.Data);
    } else if (!In.Data.empty() || In.has(Fin)) {
      send(from(Key, Each, Ack)); // seen before
    }
    if (Each.Finished && Each.FinishedByClient && !Each.Unacked) {
      Ended[Key] = Each;
      Flows.erase(Key);
    }
  }

  void finish(const FlowKey &Key, Flow &Each) {
    Each.Finished = true;
    Packet Out = from(Key, Each, Fin | Ack);
    ++Each.Next;
    sendUntilAcked(Each, Out);
  }

  void sendUntilAcked(Flow &Each, const Packet &Out) {
    Each.Unacked = Out;
    Each.SentAt = nowMs();
    Each.WaitMs = 200;
    Each.Again = 0;
    send(Out);
  }

  // A request is "WORKMS ID"; the answer repeats its id.
  void work(const FlowKey &Key, Flow &Each, const std::string &Data) {
    const int64_t WorkMs = std::atoll(Data.c_str());
    const std::string Id = Data.substr(Data.find(' ') + 1);
    Log.line("endpoint " + std::to_string(Own.Index) + " runs " + Id);
    Log.runs(Id);
    int64_t &Free = *std::min_element(SlotFreeAt.begin(), SlotFreeAt.end());
    Free = std::max(Free, nowMs()) + WorkMs;
    Each.Working = true;
    later(Free - nowMs(), [this, Key, Id, Start = Each.ClientStart] {
      const auto Found = Flows.find(Key);
      if (Found == Flows.end() || Found->second.ClientStart != Start)
        return;
      Flow &Held = Found->second;
      Held.Working = false;
      Held.LastUse = nowMs();
      Packet Out = from(Key, Held, Ack);
      Out.Data = "answer " + Id;
      Held.Next += static_cast<uint32_t>(Out.Data.size());
      sendUntilAcked(Held, Out);
      if (Draining)
        later(1, [this, Key, Start] { finishDrained(Key, Start); });
    });
  }

  void finishDrained(const FlowKey &Key, uint32_t Start) {
    const auto Found = Flows.find(Key);
    if (Found == Flows.end() || Found->second.ClientStart != Start ||
        Found->second.Finished)
      return;
    if (Found->second.Unacked)
      return later(20, [this, Key, Start] { finishDrained(Key, Start); });
    finish(Key, Found->second);
  }

  void tick() {
    later(50, [this] { tick(); });
    const int64_t Now = nowMs();
    std::vector<FlowKey> GivenUp;
    for (auto &[Key, Each] : Flows) {
      if (Each.Unacked && Now - Each.SentAt >= Each.WaitMs) {
        if (++Each.Again > 8) {
          GivenUp.push_back(Key);
          continue;
        }
        Each.SentAt = Now;
        Each.WaitMs = std::min<int64_t>(2 * Each.WaitMs, 1600);
        Packet Out = *Each.Unacked;
        Out.Acked = Each.Expected;
        send(Out);
      }
      if (Own.IdleCloseMs > 0 && Each.Open && !Each.Working && !Each.Unacked &&
          !Each.Finished && Now - Each.LastUse >= Own.IdleCloseMs)
        finish(Key, Each);
      if (!Each.Open && Now - Each.LastUse > 5000)
        GivenUp.push_back(Key);
    }
    for (const FlowKey &Key : GivenUp)
      Flows.erase(Key);
    std::erase_if(Ended, [Now](const auto &Each) {
      return Now - Each.second.LastUse > EndedMs;
    });
  }

  void ping() {
    later(Own.PingMs, [this] { ping(); });
    const int64_t Warm = std::max<int64_t>(0, StartedAt + Own.ColdMs - nowMs());
    const std::string Body =
        "{\"service\":" + quoted(Own.Service) +
        ",\"address\":" + quoted(Own.App.text()) +
        ",\"zone\":" + quoted(Own.Zone) +
        ",\"version\":\"v1\",\"max_concurrency\":" + std::to_string(Own.Slots) +
        ",\"state\":\"" + (Draining ? "draining" : "ready") +
        "\",\"warmup_remaining_ms\":" + std::to_string(Warm) +
        ",\"sequence\":" + std::to_string(++Pings) +
        ",\"born\":" + std::to_string(Born) + "}";
    callHttp(Events, Own.Pings, "POST",
             "/api/Endpoints.Heartbeat/i-" + std::to_string(Own.Index), Body,
             [](int) {});
  }

  Loop &Events;
  Record &Log;
  EndpointOptions Own;
  uint64_t Random;
  Udp Socket;
  HttpServer Health;
  std::vector<int64_t> SlotFreeAt;
  // It remembers a flow that has ended for this long.
  static constexpr int64_t EndedMs = 5000;
  std::map<FlowKey, Flow> Flows, Ended;
  std::vector<int64_t> Openings;
  int64_t StartedAt = 0, Born = 0;
  uint64_t Pings = 0, Returned = 0;
  bool Draining = false;
  std::shared_ptr<int> Lifetime = std::make_shared<int>(0);
};

} // namespace stage

#endif
