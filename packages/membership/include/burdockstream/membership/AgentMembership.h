// The agent's side of the membership protocol. An agent announces itself to two
// home balancers, which detect its failure, and obtains its service's members
// and configuration record from their acknowledgments.
#ifndef BURDOCKSTREAM_MEMBERSHIP_AGENTMEMBERSHIP_H
#define BURDOCKSTREAM_MEMBERSHIP_AGENTMEMBERSHIP_H

#include "burdockstream/base/Random.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/membership/Actions.h"
#include "burdockstream/membership/ClockOffset.h"
#include "burdockstream/membership/MemberTable.h"
#include "burdockstream/membership/Settings.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstream::membership {

struct AgentMembershipCounters {
  uint64_t AnnouncementsSent = 0;
  uint64_t AcksReceived = 0;
  uint64_t HomeChanges = 0;
  uint64_t Refutations = 0; // of reports that this agent is suspect or dead
};

// Every call must carry a time not before that of the previous call, and tick()
// must be called no later than nextDeadline(): a gap of more than
// PauseThreshold is treated as a pause of the process. start() must be called
// before any other method that takes a time. Thread safety: loop thread only.
class AgentMembership {
public:
  // Self must have id, service, data and control address, failure domain and
  // slots; version and state are set here. ConfiguredBalancers lists the data
  // addresses of all balancers. Random must outlive the object. Precondition:
  // the id is not zero.
  AgentMembership(messages::MemberInfo Self,
                  std::vector<BalancerLocation> ConfiguredBalancers,
                  base::RandomSource &Random);

  // Starts to announce the state Starting. Must be called exactly once, before
  // the other methods.
  void start(base::Now Now, ActionSink &Sink);

  // Processes a message from the data address From. Messages that are not part
  // of the membership protocol are ignored.
  void handle(const messages::Message &Body, base::SocketAddress From,
              base::Now Now, ActionSink &Sink);

  // Performs all work whose deadline has passed.
  void tick(base::Now Now, ActionSink &Sink);

  // Returns when tick() must be called next.
  base::TimePoint nextDeadline() const;

  // Announces State at once, and again every UrgentAnnounceRepeat until both
  // homes have acknowledged it, for at most 3 s. Has no effect if State is the
  // current state.
  void setState(messages::MemberState State, base::Now Now, ActionSink &Sink);

  // Sets the load, in percent, in later announcements. Load is only a hint, so
  // it does not create a new version and is not disseminated by gossip.
  void setLoad(uint16_t LoadPercent) { Self.LoadPercent = LoadPercent; }

  // Sets the number of slots and announces it like a change of state. Has no
  // effect if Slots is the current number.
  void setSlots(uint16_t Slots, base::Now Now, ActionSink &Sink);

  // Returns whether a home has acknowledged the current state. A leaving agent
  // waits for this before it exits, but not longer than 3 s.
  bool stateAcknowledged() const;

  const messages::MemberInfo &self() const { return Self; }
  // Returns the members of this agent's service and some of the balancers.
  const MemberTable &members() const { return Table; }
  const std::optional<messages::RecordEntry> &record() const { return Record; }
  int64_t clockOffsetMilliseconds() const {
    return Offset.medianMilliseconds();
  }
  bool clockOffsetExceeded() const { return Offset.exceeded(); }
  const AgentMembershipCounters &counters() const { return Counters; }

  // Returns the data addresses of the home balancers, at most two, the one with
  // the highest score first.
  std::vector<base::SocketAddress> homes() const;

private:
  struct Home {
    size_t BalancerIndex = 0;
    base::TimePoint NextRegular; // next periodic announcement
    base::TimePoint NextSend;
    base::TimePoint LastAck; // or when the balancer became a home
    uint64_t AcknowledgedVersion = 0;
    int64_t LastSentWallMilliseconds =
        0; // sent in the newest announcement, which it identifies
    uint64_t LastSentVersion = 0;
    bool Acknowledged = true; // whether the newest announcement was
    int UrgentRemaining = 0;
  };

  void on(const messages::AnnounceAck &Ack, base::SocketAddress From,
          base::Now Now, ActionSink &Sink);
  void detectPause(base::Now Now);
  void mergeMember(const messages::MemberInfo &Info, base::Now Now,
                   ActionSink &Sink);
  void publishSelf(uint64_t Version, base::Now Now, ActionSink &Sink);
  void announce(Home &To, base::Now Now, ActionSink &Sink);
  void updateHomes(base::TimePoint Now);
  void replaceUnresponsiveHomes(base::TimePoint Now);
  void removeUnreportedMembers(base::TimePoint Now, ActionSink &Sink);
  void reportClockOffset(ActionSink &Sink);

  messages::MemberInfo Self;
  std::vector<BalancerLocation> ConfiguredBalancers;
  base::RandomSource *Random;
  MemberTable Table;
  std::unordered_map<base::DaemonId, base::TimePoint> LastReported;
  std::optional<messages::RecordEntry> Record;
  ClockOffset Offset;
  bool OffsetExceeded = false;
  std::vector<Home> Homes;
  std::vector<base::TimePoint>
      ExcludedUntil; // per balancer, after missing acks
  AgentMembershipCounters Counters;
  bool Started = false;
  base::TimePoint LastCall;
  base::TimePoint LastAnyAck;
  base::TimePoint NextCleanup = base::Never;
};

} // namespace burdockstream::membership

#endif
