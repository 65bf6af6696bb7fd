// Wire format of the messages between balancers and agents of flow services.
// Each message is one datagram with a fixed header and a body. The body is a
// packet of a flow, one or more packet headers, a hello, a status or a policy;
// the last two are encoded with msgpack.
#ifndef BURDOCKSTREAM_FLOWS_FRAME_H
#define BURDOCKSTREAM_FLOWS_FRAME_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/flows/RequestTime.h"
#include "burdockstream/flows/TargetStatus.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::flows {

// The values are on the wire.
enum class FrameKind : uint8_t {
  Forward = 1, // balancer to agent: deliver this packet
  Search,      // balancer to agent: does the target hold these flows (headers)
  Trial,       // balancer to agent: deliver this packet to find out whether the
               // target holds its flow
  Returned,    // agent to balancer: the packet was not delivered, see Reason
  Held,        // agent to balancer: the target holds the flow
  NotHeld,     // agent to balancer: the target does not hold the flow
  Undecided,   // agent to balancer: only the target can tell, send a Trial
  Hello,       // balancer to agent: keep sending statuses to this balancer
  Status,      // agent to balancer: state and load of the target
  Policy,      // balancer to agent: what operators require of the target
};

// Why an agent did not deliver a packet. The values are on the wire.
enum class ReturnReason : uint8_t {
  None = 0,
  Refused,       // the target cannot accept another flow
  NotHeld,       // the target does not hold the flow
  NotReady,      // the target drains, is silent or unknown, or the agent leaves
  OtherService,  // the agent's target serves another service
  OldRoutes,     // newer routes than the balancer's have been published
  TargetStopped, // the target's process has ended
  Busy,          // the target has as much work as it can finish in time
  Evacuated,     // the target's failure domain is evacuated; in logs only, sent
                 // as NotReady
};

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(ReturnReason Reason);

struct FrameHeader {
  FrameKind Kind = FrameKind::Forward;
  // In a Forward frame with an opening packet, Busy tells the agent to return
  // the packet at once if the target cannot start it in time. Former agents
  // ignore it and hold the packet.
  ReturnReason Reason = ReturnReason::None;
  uint8_t WorkClass = 0; // index of the route's class, for histograms
  // Opening packets only: the time left for the flow's first request; nullopt
  // if the route defines no deadlines.
  std::optional<RequestTime> Time;
  base::ServiceId Service;
  // Revision of the routes that the sender applies, or the newest that it
  // knows.
  base::Revision Routes = 0;
};

inline constexpr size_t FrameHeaderBytes = 20; // without Time
inline constexpr size_t FrameTimeBytes = 2;
inline constexpr size_t MaxFrameHeaderBytes = FrameHeaderBytes + FrameTimeBytes;

// Sent periodically by a balancer to the agents whose status it needs.
struct Hello {
  base::SocketAddress Control; // serves the balancer's routes to its peers
  bool EntryMissing = false;   // the store is reachable, but does not list the
                               // receiving agent
  std::string FailureDomain;
  // After which a target may drop an idle flow, by the routes that the balancer
  // applies; zero if it has none. Rounded up to seconds on the wire, at most 18
  // hours. Former balancers do not send it, former agents ignore it.
  base::Duration IdleTimeout{0};
};

// What operators require of an agent's target, sent to agents that do not have
// it. Older agents ignore it.
struct TargetPolicy {
  std::string FailureDomain;
  DomainEvacuation Evacuation;
  // Of the agent's service, as defined by the routes of the frame's revision;
  // 0: no limit.
  uint32_t WarmupFlowsPerSecond = 0;
};

// A decoded datagram; Body refers to the datagram's bytes.
struct Frame {
  FrameHeader Header;
  std::span<uint8_t> Body;
};

// Encodes Header at the start of Out and returns its length in bytes.
// Precondition: Out has at least the encoded length, at most
// MaxFrameHeaderBytes. Thread safety: any thread.
size_t writeHeader(const FrameHeader &Header, std::span<uint8_t> Out);

// Decodes a datagram. Returns nullopt if it is too short, or if its kind,
// reason or time length is invalid. Thread safety: any thread.
std::optional<Frame> readFrame(std::span<uint8_t> Datagram);

// Encode and decode frame bodies. The unpack functions return nullopt for
// malformed input and do not throw. Thread safety: any thread.
std::vector<uint8_t> packStatus(const TargetStatus &Status);
std::optional<TargetStatus> unpackStatus(std::span<const uint8_t> Body);
std::vector<uint8_t> packHello(const Hello &Hello);
std::optional<Hello> unpackHello(std::span<const uint8_t> Body);
std::vector<uint8_t> packPolicy(const TargetPolicy &Policy);
std::optional<TargetPolicy> unpackPolicy(std::span<const uint8_t> Body);

} // namespace burdockstream::flows

#endif
