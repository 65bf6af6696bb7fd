#include "burdockstream/membership/Actions.h"

#include <utility>

namespace burdockstream::membership {

void send(ActionSink &Sink, base::SocketAddress To, messages::Message Body) {
  Sink.push_back(SendMessage{To, std::move(Body)});
}

} // namespace burdockstream::membership
