// Failure detector probes of a balancer: direct probes, then indirect probes
// through other balancers, and the probes that it relays on behalf of others.
#ifndef BURDOCKSTREAM_MEMBERSHIP_PROBER_H
#define BURDOCKSTREAM_MEMBERSHIP_PROBER_H

#include "burdockstream/base/Random.h"
#include "burdockstream/membership/Actions.h"
#include "burdockstream/membership/MemberTable.h"

#include <cstdint>
#include <vector>

namespace burdockstream::membership {

// Thread safety: loop thread only.
class Prober {
public:
  // Source must outlive the object.
  explicit Prober(base::RandomSource &Source)
      : Random(&Source), Sequence(Source() >> 1) {}

  // Probes the next balancer in a random order that includes every balancer of
  // Table once per round.
  void probeNext(const MemberTable &Table, const messages::MemberInfo &Self,
                 base::TimePoint Now, ActionSink &Sink);

  // Retransmits unanswered probes. Returns the balancers that did not answer
  // within ProbeTimeout, with their entries as of the start of the probe.
  std::vector<messages::MemberInfo> tick(const MemberTable &Table,
                                         const messages::MemberInfo &Self,
                                         base::TimePoint Now, ActionSink &Sink);

  // Ends the probe that Ack answers. If it answers a relayed probe, forwards it
  // to the balancer that requested that probe.
  void handle(const messages::ProbeAck &Ack, ActionSink &Sink);

  // Sends a probe to Request.Target on behalf of the balancer at From.
  void handle(const messages::IndirectProbe &Request, base::SocketAddress From,
              const messages::MemberInfo &Self, base::TimePoint Now,
              ActionSink &Sink);

  // Discards all outstanding and relayed probes, after a pause of the process.
  void clear();

  // Returns when tick() must be called next; base::Never if no probe or relay
  // is outstanding.
  base::TimePoint nextDeadline() const;

private:
  struct OutstandingProbe {
    uint64_t Sequence = 0;
    messages::MemberInfo Target;
    base::TimePoint Start;
    base::TimePoint Next;
    std::vector<base::SocketAddress> Proxies;
  };
  struct Relay {
    uint64_t Sequence = 0;
    uint64_t RequesterSequence = 0;
    base::SocketAddress Requester;
    base::TimePoint Expires;
  };

  void sendNext(OutstandingProbe &Probe, const MemberTable &Table,
                const messages::MemberInfo &Self, base::TimePoint Now,
                ActionSink &Sink);
  void chooseProxies(OutstandingProbe &Probe, const MemberTable &Table,
                     const messages::MemberInfo &Self);

  base::RandomSource *Random;
  uint64_t Sequence;
  std::vector<base::DaemonId> ProbeOrder; // remaining balancers of this round
  std::vector<OutstandingProbe> Probes;
  std::vector<Relay> Relays;
};

} // namespace burdockstream::membership

#endif
