// The outside of a soak: targets and clients that speak the platform's packets,
// and check what burdockstream carries between them.
#ifndef BURDOCKSTREAM_FLOWSOAK_SOAKPARTS_H
#define BURDOCKSTREAM_FLOWSOAK_SOAKPARTS_H

#include "burdockstream/flows/Packet.h"
#include "burdockstream/http/HttpClient.h"
#include "burdockstream/http/HttpServer.h"
#include "burdockstream/network/UdpSocket.h"

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockstream::flowsoak {

inline constexpr uint16_t DataPort = 18172;
inline constexpr uint16_t ControlPort = 17720;
inline constexpr uint16_t ReadyPort = 18167;
inline constexpr uint16_t HeartbeatPort = 18166;
inline constexpr uint16_t TargetPort = 18165;
inline constexpr uint16_t OutboundPort = 18162;

// Address of member Index of group Group on loopback.
inline base::SocketAddress place(uint8_t Group, size_t Index, uint16_t Port) {
  return {0x7F140000U | uint32_t{Group} << 8 | static_cast<uint32_t>(Index + 1),
          Port};
}

// What went wrong, in the words of the promise that was broken.
using Violations = std::vector<std::string>;

// A draining target gets no opening packet later than this after the agent has
// acknowledged it. The product's own gate closes at once; the rest is for
// packets in the sockets of a loaded machine.
inline constexpr int64_t DrainBoundMs = 1'000;

// Number of the last request of a flow. The target closes the flow with its
// answer, and acknowledges the client's end that follows.
inline constexpr uint32_t LastRequest = 1U << 20;

// A target that holds flows and answers each request with its own bytes. A
// request occupies one of its slots for the target's work time.
class SoakTarget {
public:
  SoakTarget(size_t Index, std::string InitService,
             base::SocketAddress InitServiceAddress,
             std::chrono::milliseconds InitWorkTime, Violations &InitFound);
  void beat();
  // Says from now on that it leaves. It keeps its flows and still accepts.
  void drain() { Draining = true; }
  // The process ends without a word, and its flows with it.
  void end();
  // A new run, which knows nothing of the one before.
  void startAnew();
  bool isRunning() const { return Running; }
  // Number of flows whose opening packet it has accepted so far.
  uint64_t openings() const { return Openings; }
  // A flow is held from the first packet that acknowledges this target's
  // answer to the opening one; its copies may reach several targets.
  bool holds(const flows::FlowKey &Flow) const { return Held.count(Flow) != 0; }

private:
  static constexpr size_t Slots = 2;
  // Numbers of requests. A client sends one after the other.
  struct HeldFlow {
    uint32_t Taken = 0; // the last that work was started for
    uint32_t Answered = 0;
  };

  void onPacket(std::span<uint8_t> Bytes);
  void serve(const flows::Packet &Packet, uint32_t Request);
  void startWork(const flows::FlowKey &Flow, uint32_t Request);
  void send(const flows::FlowKey &Flow, uint8_t Flags, uint32_t Request);
  // At which it starts its flows; far from those of the other targets.
  uint32_t sequence() const {
    return static_cast<uint32_t>(Index + 1) * 0x9E3779B1U;
  }

  size_t Index;
  std::string Service;
  base::SocketAddress ServiceAddress;
  std::chrono::milliseconds WorkTime;
  Violations &Found;
  flows::PacketCodec Codec;
  std::unique_ptr<network::UdpSocket> Socket;
  http::HttpServer Health;
  http::HttpClient Client;
  using FlowOrder = bool (*)(const flows::FlowKey &, const flows::FlowKey &);
  std::set<flows::FlowKey, FlowOrder> Accepted; // opening packets
  std::map<flows::FlowKey, HeldFlow, FlowOrder> Held;
  std::array<int64_t, Slots> SlotFreeAtMs{};
  uint64_t Openings = 0;
  uint64_t Sequence = 0;
  int64_t Born = 0;
  bool Running = true;
  bool Draining = false;
  int64_t DrainAckedAtMs = 0; // 0: not acknowledged
  std::shared_ptr<int> LifetimeToken = std::make_shared<int>(0);
};

enum class SoakFlowState : uint8_t {
  Opening,
  Open,
  Closing, // the target has closed it and has not acknowledged the client's end
  Ended,
};

// One client that keeps a flow open and sends a request after the other, or,
// if Short, opens a flow for one request.
struct SoakFlow {
  flows::FlowKey Key;
  SoakFlowState State = SoakFlowState::Opening;
  bool Short = false;
  int Attempts = 0; // at opening it
  int Copies = 0;
  int64_t SentAtMs = 0;
  int64_t WaitMs = 200;
  int64_t LastAnswerMs = 0;
  uint32_t Request = 0;      // number of the one that waits for its answer
  uint32_t Acknowledged = 0; // sequence number of the target that holds it
};

class SoakClients {
public:
  // Route returns the balancer that the fabric gives a packet to.
  SoakClients(
      size_t Flows, std::vector<base::SocketAddress> InitServices,
      std::function<base::SocketAddress(const flows::FlowKey &)> InitRoute,
      std::function<bool(const flows::FlowKey &)> InitIsHeld,
      Violations &InitFound);
  void tick();
  // Opens Count flows of one request each.
  void openShort(size_t Count);
  // Ends all flows: open ones after one more request, others at once.
  void finish();
  // Flows that are kept open and had no answer in the last Ms.
  size_t unserved(int64_t Ms) const;
  // Flows that have not ended.
  size_t remaining() const;
  uint64_t answers() const { return Answers; }

private:
  static constexpr uint16_t FirstPort = 1025;

  void add(size_t Index, bool Short);
  void reopen(SoakFlow &Flow);
  void retry(SoakFlow &Flow);
  void tickOpening(SoakFlow &Flow);
  void tickOpen(SoakFlow &Flow);
  void sendEnd(SoakFlow &Flow);
  void onReset(SoakFlow &Flow, const flows::Packet &Reset,
               base::SocketAddress Sender);
  void onAnswer(SoakFlow &Flow, const flows::Packet &Packet, uint32_t Request);
  void send(const SoakFlow &Flow, uint8_t Flags, uint32_t Acknowledged,
            uint32_t Request);
  void onPacket(std::span<uint8_t> Bytes, base::SocketAddress Sender);

  std::vector<base::SocketAddress> Services;
  std::function<base::SocketAddress(const flows::FlowKey &)> Route;
  std::function<bool(const flows::FlowKey &)> IsHeld;
  Violations &Found;
  flows::PacketCodec Codec;
  std::unique_ptr<network::UdpSocket> Socket;
  std::vector<SoakFlow> Flows;
  std::unordered_map<uint16_t, size_t> IndexByPort; // of the client
  uint16_t LastPort = FirstPort - 1;
  bool Finishing = false;
  uint64_t Answers = 0;
};

} // namespace burdockstream::flowsoak

#endif
