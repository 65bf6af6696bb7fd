// The link of a small VM: a TCP proxy that passes on bytes at a limited rate.
#ifndef BURDOCKSTREAM_TESTING_LINKSTANDIN_H
#define BURDOCKSTREAM_TESTING_LINKSTANDIN_H

#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"

#include <array>
#include <gio/gio.h>
#include <memory>

namespace burdockstream::testing {

// All connections share the rate, in each direction. Thread safety, for all
// methods: loop thread only.
class LinkStandIn {
public:
  LinkStandIn(base::SocketAddress InitServer, double InitBytesPerSecond)
      : Server(InitServer), State(std::make_shared<LinkState>()) {
    State->BytesPerSecond = InitBytesPerSecond;
  }
  ~LinkStandIn();
  LinkStandIn(const LinkStandIn &) = delete;
  LinkStandIn &operator=(const LinkStandIn &) = delete;

  // Returns whether Address could be bound. Call once.
  bool listen(base::SocketAddress Address);

  // While the link is stopped, bytes wait.
  void setStopped(bool Stopped) { State->Stopped = Stopped; }

  // Bytes that have been passed on to clients.
  uint64_t bytesDown() const { return State->Bytes[Down]; }

  enum Direction : uint8_t { Up, Down };

  struct LinkState {
    double BytesPerSecond = 0;
    bool Stopped = false;
    std::array<gint64, 2> FreeAtUs{};
    std::array<uint64_t, 2> Bytes{};
  };

private:
  static gboolean onConnection(GSocketService *, GSocketConnection *Near,
                               GObject *, gpointer Data);

  base::SocketAddress Server;
  std::shared_ptr<LinkState> State; // shared with open connections
  GSocketService *Listener = nullptr;
};

} // namespace burdockstream::testing

#endif
