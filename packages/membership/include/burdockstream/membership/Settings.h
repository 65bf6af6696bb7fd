// Constants of the membership protocol, and the type that locates a balancer.
#ifndef BURDOCKSTREAM_MEMBERSHIP_SETTINGS_H
#define BURDOCKSTREAM_MEMBERSHIP_SETTINGS_H

#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace burdockstream::membership {

// A balancer's data address, through which daemons exchange messages, and its
// failure domain.
struct BalancerLocation {
  base::SocketAddress Address;
  std::string FailureDomain;
};

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

inline constexpr base::Duration ProbeInterval = seconds(1);
inline constexpr base::Duration DirectProbeTimeout = milliseconds(500);
// Probes are retransmitted before the timeout so that packet loss does not
// raise a suspicion: a suspicion and its refutation cost every balancer two
// rumors.
inline constexpr base::Duration DirectProbeRepeat = milliseconds(125);
inline constexpr base::Duration IndirectProbeRepeat = milliseconds(200);
inline constexpr base::Duration ProbeTimeout = milliseconds(1200);
// Number of balancers asked to probe a target that did not answer directly.
inline constexpr size_t IndirectProbeProxies = 3;
inline constexpr base::Duration SuspicionTimeout = seconds(3);

inline constexpr base::Duration AnnounceInterval = seconds(1);
inline constexpr base::Duration AnnounceRepeat = milliseconds(400);
inline constexpr base::Duration UrgentAnnounceRepeat = milliseconds(100);
// Time without an announcement after which a home balancer suspects an agent.
inline constexpr base::Duration AgentSilenceTimeout = 3 * AnnounceInterval;
// An agent replaces a home balancer that has not acknowledged an announcement
// for HomeTimeout, and does not choose it again for HomeExclusionTime.
inline constexpr base::Duration HomeTimeout = milliseconds(3500);
inline constexpr base::Duration HomeExclusionTime = seconds(30);

inline constexpr base::Duration RumorInterval = milliseconds(200);
inline constexpr base::Duration RumorBatchDelay = milliseconds(20);
inline constexpr size_t RumorFanout = 3;
// Lower bound for small clusters, where 3·log2(n) transmissions do not tolerate
// the loss of a third of the messages. With 12 transmissions per peer, one in
// 500,000 changes is left to the digest exchange.
inline constexpr size_t MinRumorTransmissions = 24;
// Size up to which messages are filled, so that IP does not fragment them.
inline constexpr size_t UnfragmentedDatagramBytes = 1200;
// Bytes that the message framing adds to each datagram.
inline constexpr size_t FramingBytes = 34;
// Rumor datagrams per round and peer. Bounds a daemon's rumor traffic to
// 144 kB/s when many changes coincide.
inline constexpr size_t MaxRumorDatagrams = 8;

inline constexpr base::Duration DigestInterval = seconds(10);
inline constexpr base::Duration JoinDigestInterval = milliseconds(100);
// Peers that a joining balancer sends digests to in each round. With one peer,
// the transfer of 3,300 records of 600 bytes at 5% packet loss took more than
// 10 s.
inline constexpr size_t JoinDigestPeers = 2;
// A joining balancer becomes ready without synchronized tables when no peer has
// answered for JoinAloneTimeout, and at the latest after JoinTimeout.
inline constexpr base::Duration JoinAloneTimeout = seconds(3);
inline constexpr base::Duration JoinTimeout = seconds(10);
inline constexpr size_t MaxDiffDatagrams = 64;

// How long the entry of a stopped or dead member is kept, so that delayed
// messages do not add the member again.
inline constexpr base::Duration TombstoneLifetime = minutes(10);
// A longer gap between calls means that the process was paused. Its expired
// timers are then no evidence that other daemons failed.
inline constexpr base::Duration PauseThreshold = seconds(2);
// After a longer pause the table may hold members whose tombstones the other
// balancers are about to remove, so it is cleared and synchronized again.
inline constexpr base::Duration StaleTableThreshold = TombstoneLifetime / 2;

} // namespace burdockstream::membership

#endif
