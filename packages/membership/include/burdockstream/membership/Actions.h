// Actions that the membership state machines return to their caller, which
// performs the I/O.
#ifndef BURDOCKSTREAM_MEMBERSHIP_ACTIONS_H
#define BURDOCKSTREAM_MEMBERSHIP_ACTIONS_H

#include "burdockstream/messages/Messages.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace burdockstream::membership {

// Send Body to the data address To.
struct SendMessage {
  base::SocketAddress To;
  messages::Message Body;
};

// An entry of the member table was added or changed.
struct MemberChanged {
  messages::MemberInfo Member;
};

// A member's entry was removed from the table. Member is the removed entry.
struct MemberRemoved {
  messages::MemberInfo Member;
};

// A configuration record was added, or replaced by a higher revision.
struct RecordUpdated {
  messages::RecordEntry Record;
};

// The balancer has synchronized its tables with a peer, or no peer answered in
// time.
struct Joined {};

// An agent's median clock offset left the permitted range or returned to it.
struct ClockOffsetChanged {
  int64_t MedianMilliseconds = 0; // balancer's clock minus agent's clock
  bool Exceeded = false;
};

using Action = std::variant<SendMessage, MemberChanged, MemberRemoved,
                            RecordUpdated, Joined, ClockOffsetChanged>;
using ActionSink = std::vector<Action>;

// Appends a SendMessage action to Sink. Not thread-safe for a shared sink.
void send(ActionSink &Sink, base::SocketAddress To, messages::Message Body);

} // namespace burdockstream::membership

#endif
