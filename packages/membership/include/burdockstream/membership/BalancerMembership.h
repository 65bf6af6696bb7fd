// The balancer's side of the membership protocol: gossip with the other
// balancers, failure detection of balancers and agents, agents' announcements
// and the dissemination of configuration records.
#ifndef BURDOCKSTREAM_MEMBERSHIP_BALANCERMEMBERSHIP_H
#define BURDOCKSTREAM_MEMBERSHIP_BALANCERMEMBERSHIP_H

#include "burdockstream/base/Random.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/membership/Actions.h"
#include "burdockstream/membership/AgentTracker.h"
#include "burdockstream/membership/MemberTable.h"
#include "burdockstream/membership/Prober.h"
#include "burdockstream/membership/RecordTable.h"
#include "burdockstream/membership/RumorQueue.h"
#include "burdockstream/membership/Settings.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace burdockstream::membership {

struct BalancerMembershipCounters {
  uint64_t Suspicions = 0;  // raised here, not received from peers
  uint64_t Refutations = 0; // of reports that this balancer is suspect or dead
  uint64_t Pauses = 0;      // gaps between calls above PauseThreshold
  uint64_t DigestsSent = 0;
  uint64_t DigestsEqual = 0;
};

// Every call must carry a time not before that of the previous call, and tick()
// must be called no later than nextDeadline(): a gap of more than
// PauseThreshold is treated as a pause of the process. start() must be called
// before any other method that takes a time. Thread safety: loop thread only.
class BalancerMembership {
public:
  // Self must have id, data and control address and failure domain; version and
  // state are set here. ConfiguredBalancers lists the data addresses of all
  // balancers and may include this one. Random must outlive the object.
  // Precondition: the id is not zero.
  BalancerMembership(messages::MemberInfo Self,
                     std::vector<BalancerLocation> ConfiguredBalancers,
                     base::RandomSource &Random);

  // Starts to join the group. Must be called exactly once, before the other
  // methods. The action Joined follows when the tables are equal to a peer's,
  // or when no peer has answered for JoinAloneTimeout, and at the latest after
  // JoinTimeout.
  void start(base::Now Now, ActionSink &Sink);

  // Processes a message from the data address From. Messages that are not part
  // of the membership protocol are ignored.
  void handle(const messages::Message &Body, base::SocketAddress From,
              base::Now Now, ActionSink &Sink);

  // Performs all work whose deadline has passed.
  void tick(base::Now Now, ActionSink &Sink);

  // Returns when tick() must be called next.
  base::TimePoint nextDeadline() const;

  // Announces State, which is Ready, Draining or Stopped, for this balancer.
  // Has no effect if State is the current state.
  void setState(messages::MemberState State, base::Now Now, ActionSink &Sink);

  // Stores a record read from the store, and disseminates it if it is newer
  // than the known one.
  void applyRecord(const messages::RecordEntry &Record, base::Now Now,
                   ActionSink &Sink);

  // Returns whether all queued rumors have been sent. A stopping balancer waits
  // for this.
  bool rumorsSent() const { return Rumors.empty(); }

  const messages::MemberInfo &self() const { return Self; }
  const MemberTable &members() const { return Table; }
  const RecordTable &records() const { return Records; }
  bool joined() const { return !Joining; }
  const BalancerMembershipCounters &counters() const { return Counters; }

  // Returns the balancers that may be homes and watchers: those that are
  // neither draining, stopped nor dead, as of the last periodic update. Valid
  // until the next non-const call.
  const std::vector<BalancerLocation> &liveBalancers() const {
    return LiveBalancers;
  }

private:
  struct Suspicion {
    uint64_t Version = 0;
    base::TimePoint Deadline;
    base::TimePoint NextNotification; // Never if a peer raised the suspicion
  };

  // Implemented in BalancerMembership.cpp: merging, failure detection, rumors.
  void detectPause(base::Now Now, ActionSink &Sink);
  void resetTable(base::TimePoint Now, ActionSink &Sink);
  MergeResult mergeMember(const messages::MemberInfo &Info, bool Spread,
                          base::TimePoint Now, ActionSink &Sink);
  void handleMemberChange(base::DaemonId Id, bool Spread, base::TimePoint Now,
                          ActionSink &Sink);
  bool mergeRecord(const messages::RecordEntry &Record, bool Spread,
                   base::TimePoint Now, ActionSink &Sink);
  void publishSelf(uint64_t Version, base::TimePoint Now, ActionSink &Sink);
  void suspect(const messages::MemberInfo &Target, base::TimePoint Now,
               ActionSink &Sink);
  void declareDead(messages::MemberInfo Target, base::TimePoint Now,
                   ActionSink &Sink);
  void tickSuspicions(base::TimePoint Now, ActionSink &Sink);
  void sendCorrection(const messages::MemberInfo &Outdated,
                      base::SocketAddress To, ActionSink &Sink) const;
  void recordReadyPeer(const messages::MemberInfo &Peer, base::TimePoint Now);
  void scheduleRumors(base::TimePoint Now);
  void sendRumors(base::TimePoint Now, ActionSink &Sink);
  std::vector<base::SocketAddress> randomPeers(size_t Count);
  std::vector<messages::MemberInfo>
  supersedingEntries(const messages::MemberInfo &Outdated) const;

  void on(const messages::Probe &Body, base::SocketAddress From, base::Now Now,
          ActionSink &Sink);
  void on(const messages::ProbeAck &Body, base::Now Now, ActionSink &Sink);
  void on(const messages::Rumor &Body, base::Now Now, ActionSink &Sink);

  // Implemented in BalancerAgents.cpp: agents' announcements and failures.
  void on(const messages::Announce &Body, base::SocketAddress From,
          base::Now Now, ActionSink &Sink);
  void sendAck(const messages::MemberInfo &Agent, messages::AnnounceAck Head,
               bool Complete, ActionSink &Sink) const;
  void addBalancers(base::DaemonId Agent, messages::AnnounceAck &Ack) const;
  void tickAgents(base::TimePoint Now, ActionSink &Sink);
  void sendServiceUpdates(base::Now Now, ActionSink &Sink);
  void trackHomeAgents(base::TimePoint Now);
  void updateLiveBalancers();

  // Implemented in BalancerDigests.cpp: joining and digest exchange.
  void tickDigest(base::Now Now, ActionSink &Sink);
  void finishJoining(base::TimePoint Now, ActionSink &Sink);
  void sendDigest(base::SocketAddress To, ActionSink &Sink);
  base::SocketAddress digestPeer();
  void on(const messages::Digest &Body, base::SocketAddress From,
          ActionSink &Sink);
  void on(const messages::DigestDiff &Body, base::SocketAddress From,
          base::Now Now, ActionSink &Sink);

  messages::MemberInfo Self;
  std::vector<BalancerLocation> ConfiguredBalancers;
  base::RandomSource *Random;
  MemberTable Table;
  RecordTable Records;
  RumorQueue Rumors;
  Prober Probes;
  AgentTracker Tracker;
  std::unordered_map<base::DaemonId, Suspicion> Suspicions;
  // Services whose tracked agents must be sent the changed member list; the
  // value is true if the record changed too.
  std::unordered_map<base::ServiceId, bool> ServicesToUpdate;
  std::vector<BalancerLocation> LiveBalancers;
  uint64_t LiveBalancersGeneration = 0; // of Table when LiveBalancers was built
  BalancerMembershipCounters Counters;

  bool Started = false;
  bool Joining = true;
  bool CatchingUp = false; // a peer sent many changes and may have more
  base::TimePoint JoinBegan;
  base::TimePoint LastReadyPeer; // last message of a peer that has joined
  base::TimePoint LastCall;
  base::TimePoint NextProbe = base::Never;
  base::TimePoint NextDigest = base::Never;
  base::TimePoint NextRumors = base::Never;
  base::TimePoint LastRumors;
  base::TimePoint NextAgentUpdate = base::Never;
  base::TimePoint NextHomeScan = base::Never;
};

} // namespace burdockstream::membership

#endif
