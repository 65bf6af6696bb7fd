// Clients after the platform's page: they open flows with up to three copies,
// send one request after the other, and repeat what is not acknowledged.
#ifndef STAGE_CLIENT_HH
#define STAGE_CLIENT_HH

#include "Packet.hh"
#include "Record.hh"

#include <optional>

namespace stage {

enum class FlowState { Opening, Open, Closed, Reset, GivenUp };

struct ClientFlow {
  FlowKey Key;
  FlowState State = FlowState::Opening;
  uint32_t Start = 0, Next = 0, Expected = 0; // numbers, Expected is the peer's
  std::string Id;                             // of the request that waits
  std::optional<Packet> Unacked;              // the request or the end
  int64_t OpenedAt = 0, SentAt = 0, WaitMs = 200, AskedAt = 0, AnsweredAt = 0;
  int Copies = 0;
  bool Finished = false, FinishedByPeer = false;
  uint64_t Answers = 0;
};

class Clients {
public:
  using RouteTo = std::function<Address(const FlowKey &)>;
  using HoldsOpen = std::function<bool(const FlowKey &, uint32_t Start)>;

  Clients(Loop &InitLoop, Record &InitLog, uint32_t Ip, uint16_t DataPort,
          RouteTo InitRoute, HoldsOpen InitHolds, uint64_t Seed)
      : Events(InitLoop), Log(InitLog), Ip(Ip), Route(std::move(InitRoute)),
        Holds(std::move(InitHolds)), Random(mix(Seed ^ Ip)),
        Socket(Events, {Ip, DataPort},
               [this](const Bytes &Data) { onDatagram(Data); }) {
    Events.every(20, [this] { tick(); });
  }

  // Opens a flow from Port, which must not have one that is open.
  ClientFlow &open(uint16_t Port, Address To) {
    ClientFlow &New = Flows[{{Ip, Port}, To}] = ClientFlow();
    New.Key = {{Ip, Port}, To};
    Random = mix(Random);
    New.Start = static_cast<uint32_t>(Random);
    New.Next = New.Start + 1;
    New.OpenedAt = nowMs();
    sendOpening(New);
    return New;
  }

  // Sends a request of WorkMs, once the flow is open.
  void ask(ClientFlow &Each, const std::string &Id, int64_t WorkMs) {
    Each.Id = Id;
    Each.AskedAt = nowMs();
    Packet Out = from(Each, Ack);
    Out.Data = std::to_string(WorkMs) + " " + Id;
    Each.Next += static_cast<uint32_t>(Out.Data.size());
    Log.line("sent " + Id + " on " + Each.Key.text());
    sendUntilAcked(Each, Out);
  }

  void close(ClientFlow &Each) {
    if (Each.State != FlowState::Open || Each.Finished)
      return;
    finish(Each);
  }

  std::map<FlowKey, ClientFlow> &flows() { return Flows; }
  uint64_t answers() const { return Answers; }
  uint64_t resets() const { return Resets; }

private:
  Packet from(const ClientFlow &Each, uint8_t Flags) const {
    Packet Out;
    Out.From = Each.Key.Client;
    Out.To = Each.Key.Route;
    Out.Flags = Flags;
    Out.Seq = Each.Next;
    Out.Acked = Each.Expected;
    return Out;
  }
  void send(const ClientFlow &Each, Packet Out) {
    Socket.send(Out.seal(), Route(Each.Key));
  }
  void sendOpening(ClientFlow &Each) {
    Packet Out = from(Each, Syn);
    Out.Seq = Each.Start;
    Out.Acked = static_cast<uint32_t>(Each.Copies++);
    send(Each, Out);
  }
  void sendUntilAcked(ClientFlow &Each, const Packet &Out) {
    Each.Unacked = Out;
    Each.SentAt = nowMs();
    Each.WaitMs = 200;
    send(Each, Out);
  }
  void finish(ClientFlow &Each) {
    Each.Finished = true;
    Packet Out = from(Each, Fin | Ack);
    ++Each.Next;
    sendUntilAcked(Each, Out);
  }

  void onDatagram(const Bytes &Data) {
    Packet In;
    if (!Packet::read(Data, In))
      return Log.violation("MIXED", "a client got bytes that are no packet");
    const auto Found = Flows.find({In.To, In.From});
    if (In.has(Rst)) {
      if (Found != Flows.end())
        onReset(Found->second, In);
      return;
    }
    if (!In.isIntact())
      return Log.violation("MIXED", "a client got a packet that no endpoint "
                                    "wrote");
    if (Found != Flows.end())
      onPacket(Found->second, In);
  }

  void onReset(ClientFlow &Each, const Packet &In) {
    if (Each.State == FlowState::Opening) {
      Each.State = FlowState::Reset;
      return;
    }
    if (Each.State != FlowState::Open)
      return;
    // A reset whose number is far from the last acknowledged one is not one of
    // this flow.
    const uint32_t Lag = In.Seq - Each.Expected + 76'800;
    if (Lag > 2 * 76'800) {
      Log.line("a reset with a foreign number was ignored on " +
               Each.Key.text());
      return;
    }
    ++Resets;
    const bool Held = Holds(Each.Key, Each.Start);
    Log.line("reset of " + Each.Key.text() + (Held ? ", held" : ", not held") +
             (Each.Id.empty() ? "" : ", while " + Each.Id + " waits") +
             (In.Sum == 0 ? ", sent by the system" : ", sent by an endpoint"));
    if (Held && In.Sum == 0)
      Log.violation(
          "FLOW",
          "open flow " + Each.Key.text() +
              " was reset while its endpoint holds it" +
              (Each.Id.empty() ? "" : "; " + Each.Id + " was never answered"));
    Each.State = FlowState::Reset;
    Each.Unacked.reset();
  }

  void onPacket(ClientFlow &Each, const Packet &In) {
    if (In.has(Syn)) {
      if (Each.State != FlowState::Opening || In.Acked != Each.Start + 1)
        return; // of another endpoint, or a copy
      Each.State = FlowState::Open;
      Each.Expected = In.Seq + 1;
      send(Each, from(Each, Ack));
      return;
    }
    if (Each.State != FlowState::Open ||
        In.Acked - (Each.Start + 1) > Each.Next - (Each.Start + 1))
      return; // of an earlier flow from the same port
    if (Each.Unacked && In.Acked == Each.Next)
      Each.Unacked.reset();
    if (!In.Data.empty()) {
      if (In.Seq == Each.Expected) {
        Each.Expected += static_cast<uint32_t>(In.Data.size());
        onAnswer(Each, In.Data);
      }
      send(Each, from(Each, Ack));
    } else if (In.has(Fin)) {
      if (In.Seq == Each.Expected) {
        ++Each.Expected;
        Each.FinishedByPeer = true;
      }
      if (Each.Finished)
        send(Each, from(Each, Ack));
      else
        finish(Each);
    }
    if (Each.Finished && Each.FinishedByPeer && !Each.Unacked)
      Each.State = FlowState::Closed;
  }

  void onAnswer(ClientFlow &Each, const std::string &Data) {
    if (Data != "answer " + Each.Id)
      return Log.violation("MIXED", "got '" + Data + "' for " + Each.Id);
    Log.line("answered " + Each.Id + " after " +
             std::to_string(nowMs() - Each.AskedAt) + " ms");
    Each.Id.clear();
    Each.AnsweredAt = nowMs();
    ++Each.Answers;
    ++Answers;
  }

  void tick() {
    const int64_t Now = nowMs();
    for (auto &[Key, Each] : Flows) {
      if (Each.State == FlowState::Opening) {
        const int64_t Since = Now - Each.OpenedAt;
        if (Since >= 1400)
          Each.State = FlowState::GivenUp;
        else if ((Each.Copies == 1 && Since >= 200) ||
                 (Each.Copies == 2 && Since >= 600))
          sendOpening(Each);
      } else if (Each.State == FlowState::Open && Each.Unacked &&
                 Now - Each.SentAt >= Each.WaitMs) {
        Each.SentAt = Now;
        Each.WaitMs = std::min<int64_t>(2 * Each.WaitMs, 1600);
        Packet Out = *Each.Unacked;
        Out.Acked = Each.Expected;
        send(Each, Out);
      }
    }
  }

  Loop &Events;
  Record &Log;
  uint32_t Ip;
  RouteTo Route;
  HoldsOpen Holds;
  uint64_t Random;
  Udp Socket;
  std::map<FlowKey, ClientFlow> Flows;
  uint64_t Answers = 0, Resets = 0;
};

} // namespace stage

#endif
