// Simulates a deployment in virtual time: real FlowBalancer and FlowAgent
// objects with fakes of the fabric, the targets and the clients.
#ifndef BURDOCKSTREAM_FLOWS_TEST_FLOWFIXTURE_H
#define BURDOCKSTREAM_FLOWS_TEST_FLOWFIXTURE_H

#include "burdockstream/flows/FlowAgent.h"
#include "burdockstream/flows/FlowBalancer.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace burdockstream::flows::test {

inline constexpr std::string_view Shop = "shopdesk";
inline constexpr std::string_view Vault = "fitvault";
inline constexpr base::SocketAddress ShopAddress{0xC6120001, 8443};
inline constexpr base::SocketAddress VaultAddress{0xC6120002, 8443};
inline constexpr base::Duration Tick = std::chrono::milliseconds(50);

// The packet codec of the tests: a packet's bytes are an index into a table.
class PacketRegistry {
public:
  // Stores Value and returns it with bytes that encode its index.
  Packet write(Packet Value, Sender Writer = Sender::Client);
  Packet read(std::span<uint8_t> Bytes) const;
  // Decodes a header as one written by a client, as the real codec does: a
  // header that a target wrote yields a flow with swapped ends, and payload
  // bytes are malformed.
  std::optional<Packet> readClientHeader(std::span<uint8_t> Bytes) const;
  void stamp(std::span<uint8_t> Bytes, uint32_t Tag);

private:
  std::vector<Packet> Packets;
  std::vector<Sender> Writers;
  std::deque<std::vector<uint8_t>> Storage;
};

// A fake target. It returns packets of flows that it does not hold; a packet
// that acknowledges none of its numbers belongs to another flow.
struct FakeTarget {
  struct SequenceNumbers {
    uint32_t First = 0; // in the answer to the opening packet
    uint32_t Next = 0;
    uint32_t ClientFirst = 0; // in the client's opening packet
  };
  // Flows that it holds, with its sequence numbers.
  std::map<std::pair<uint64_t, uint64_t>, SequenceNumbers> Held;
  std::vector<FlowKey> Opened; // in order of arrival
  // Flows of returned packets other than opening ones.
  std::vector<FlowKey> ReturnedPackets;
  size_t Requests = 0;       // data packets of held flows
  size_t Ends = 0;           // clients' ends of held flows
  bool Full = false;         // rejects opening packets
  bool Unresponsive = false; // does not answer requests
  bool Aborts = false;       // resets the flow instead of answering a request
  size_t Aborted = 0;        // requests that it reset
};

class Simulation;

struct SimulatedAgent {
  std::unique_ptr<FlowAgent> Core;
  FakeTarget Target;
  base::SocketAddress Address;
  std::string Service;
  std::string Domain;
  bool Running = true;
  int Probes = 0;
  uint64_t HeartbeatsSent = 0;
  int64_t StartedAtMs = 1000;
  uint32_t WarmupMs = 0; // in its heartbeats
};

struct SimulatedBalancer {
  std::unique_ptr<FlowBalancer> Core;
  base::SocketAddress Address;
  bool Running = true;
};

// A deployment. Frames arrive without delay, in the order of sending.
class Simulation {
public:
  Simulation();

  size_t addBalancer(const std::string &Domain = "a");
  size_t addAgent(std::string_view Service = Shop,
                  const std::string &Domain = "a");

  // Replaces the agent's or balancer's process by a new one without state.
  void restartAgent(size_t Index);
  void restartBalancer(size_t Index);

  void setRoutes(size_t Balancer, base::Revision Revision,
                 const std::map<base::SocketAddress, std::string> &Routes,
                 WorkClass Class = WorkClass::Idempotent,
                 std::optional<RequestTime> Time = std::nullopt);
  void listAll();
  void sendHeartbeat(size_t Agent, bool Draining = false);
  void sendHeartbeats();

  // Advances virtual time by Time; all running processes tick.
  void run(base::Duration Time);

  // Send a client's packet and return after all resulting frames have arrived.
  void open(size_t Balancer, const FlowKey &Flow, uint32_t Copy = 0,
            base::Duration SinceFirstCopy = base::Duration(0));
  void send(size_t Balancer, const FlowKey &Flow, uint16_t DataBytes = 100);
  // Sends the client's end of the flow, or its reset.
  void sendEnd(size_t Balancer, const FlowKey &Flow, bool Aborts = false);
  // The target of Agent sends its end of the flow.
  void finishAtTarget(size_t Agent, const FlowKey &Flow);
  // Opens a flow and sends its first request, as a client does.
  void openAndRequest(size_t Balancer, const FlowKey &Flow) {
    open(Balancer, Flow);
    send(Balancer, Flow);
  }

  // What the client of Flow acknowledges, 0 if nothing was accepted.
  uint32_t acknowledged(const FlowKey &Flow) const;

  // Index of the agent whose target holds Flow, or -1.
  int holder(const FlowKey &Flow) const;

  static FlowKey flow(uint16_t Port,
                      base::SocketAddress Service = ShopAddress) {
    return {{0x64400007, Port}, Service};
  }
  uint64_t count(DecisionKind Kind) const;

  std::deque<SimulatedAgent> Agents;
  std::deque<SimulatedBalancer> Balancers;
  std::vector<FlowKey> Resets;
  std::vector<uint32_t> ResetSequences; // of Resets
  std::vector<FlowDecision> Decisions;
  std::vector<std::pair<base::Revision, base::SocketAddress>> NewerRoutes;
  // Balancers that reported a missing entry.
  std::vector<base::SocketAddress> MissingEntryReports;
  // Returns whether a frame is lost; if empty, no frame is.
  std::function<bool(base::SocketAddress To, FrameKind)> DropsFrame;
  // The same by sender; if empty, no frame is lost.
  std::function<bool(base::SocketAddress From, base::SocketAddress To)>
      DropsFrameFrom;
  // Agents ignore the reason of an opening packet, as former builds do.
  bool FormerAgents = false;
  // Hellos have no idle timeout, as those of former builds.
  bool FormerHellos = false;
  // Frames that agents have sent, in order, if SeenFrames is not null.
  std::vector<FrameKind> *SeenFrames = nullptr;
  base::ServiceId LastService; // in the frame that DropsFrame is called for
  // Handles BalancerHooks::CatchUp; if empty, the balancer is up to date at
  // once.
  std::function<void(size_t Balancer, ViewPart, base::TimePoint Since)> CatchUp;
  // For routes set from now on.
  uint64_t RoutesVersion = 0;
  base::Duration IdleTimeout = std::chrono::seconds(60);
  std::unordered_map<base::ServiceId, uint32_t> WarmupFlowsPerSecond;
  // For balancers created from now on.
  double LinkBytesPerSecond = 125e6;
  base::Duration OpeningAttempt{0};
  std::vector<base::Duration> CopyTimes;
  // Clients' sequence number of opening packets from now on.
  uint32_t OpeningSequence = 0;
  // Target's sequence number of the next flow that is accepted, if set.
  std::optional<uint32_t> NextStart;
  PacketRegistry Registry;
  base::TimePoint Now = base::TimePoint(std::chrono::seconds(100));

private:
  struct Frame {
    base::SocketAddress From;
    base::SocketAddress To;
    FrameHeader Header;
    std::vector<uint8_t> Body;
  };

  std::unique_ptr<FlowAgent> makeAgent(size_t Index);
  std::unique_ptr<FlowBalancer> makeBalancer(size_t Index);
  void deliverFrames();
  std::vector<Packet> headers(std::span<uint8_t> Bytes) const;
  void deliverToAgent(SimulatedAgent &Place, Frame &Delivered);
  void deliverToBalancer(SimulatedBalancer &Place, Frame &Delivered);
  void receiveAtTarget(SimulatedAgent &Place, const Packet &Arrived);

  void sendPacket(size_t Balancer, Packet Value);
  void onClientReceived(const Packet &Received);

  std::deque<Frame> Frames;
  // What each client acknowledges, by flow.
  std::map<std::pair<uint64_t, uint64_t>, uint32_t> Acknowledged;
  std::vector<std::string> Domains; // of the balancers
  uint64_t NextIncarnation = 1;
  uint32_t NextSequence = 0; // in steps of SequenceStep
};

} // namespace burdockstream::flows::test

#endif
