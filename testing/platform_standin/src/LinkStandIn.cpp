#include "burdockstream/testing/LinkStandIn.h"

#include "burdockstream/network/LoopTimer.h"

#include <algorithm>
#include <chrono>

namespace burdockstream::testing {

namespace {

constexpr size_t ChunkBytes = 4096;
constexpr std::chrono::milliseconds StoppedPollInterval{10};

GSocketAddress *toNative(base::SocketAddress Address) {
  const std::string Text = base::toString(Address);
  return g_inet_socket_address_new_from_string(
      Text.substr(0, Text.find(':')).c_str(), Address.Port);
}

// Both sides of one connection; closed when either direction ends.
struct Connection {
  std::shared_ptr<LinkStandIn::LinkState> Link;
  std::array<GIOStream *, 2> Sides{}; // client, server

  ~Connection() {
    for (GIOStream *Side : Sides)
      if (Side) {
        g_io_stream_close(Side, nullptr, nullptr);
        g_object_unref(Side);
      }
  }
};

// Passes on the bytes of one direction of a connection.
struct Pump {
  std::shared_ptr<Connection> Ends;
  LinkStandIn::Direction Way;
  std::array<char, ChunkBytes> Chunk{};
  size_t Size = 0;

  GInputStream *source() const {
    return g_io_stream_get_input_stream(Ends->Sides[Way]);
  }
  GOutputStream *sink() const {
    return g_io_stream_get_output_stream(Ends->Sides[1 - Way]);
  }
};

void read(std::unique_ptr<Pump> Passing);

void endConnection(const Connection &Ends) {
  for (GIOStream *Side : Ends.Sides)
    g_socket_shutdown(g_socket_connection_get_socket(G_SOCKET_CONNECTION(Side)),
                      TRUE, TRUE, nullptr);
}

void onWritten(GObject *Source, GAsyncResult *Result, gpointer Data) {
  std::unique_ptr<Pump> Passing(static_cast<Pump *>(Data));
  if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(Source), Result, nullptr,
                                       nullptr)) {
    Passing->Ends->Link->Bytes[Passing->Way] += Passing->Size;
    read(std::move(Passing));
  } else {
    endConnection(*Passing->Ends);
  }
}

void write(Pump *Passing) {
  if (Passing->Ends->Link->Stopped) {
    network::callLater(StoppedPollInterval, [Passing] { write(Passing); });
    return;
  }
  g_output_stream_write_all_async(Passing->sink(), Passing->Chunk.data(),
                                  Passing->Size, G_PRIORITY_DEFAULT, nullptr,
                                  onWritten, Passing);
}

void onRead(GObject *Source, GAsyncResult *Result, gpointer Data) {
  std::unique_ptr<Pump> Passing(static_cast<Pump *>(Data));
  const gssize Count =
      g_input_stream_read_finish(G_INPUT_STREAM(Source), Result, nullptr);
  if (Count <= 0)
    return endConnection(*Passing->Ends);
  Passing->Size = static_cast<size_t>(Count);
  LinkStandIn::LinkState &Link = *Passing->Ends->Link;
  gint64 &FreeAtUs = Link.FreeAtUs[Passing->Way];
  const gint64 NowUs = g_get_monotonic_time();
  FreeAtUs = std::max(FreeAtUs, NowUs) +
             static_cast<gint64>(static_cast<double>(Count) /
                                 Link.BytesPerSecond * G_USEC_PER_SEC);
  Pump *Raw = Passing.release(); // write() owns it
  network::callLater(std::chrono::microseconds(FreeAtUs - NowUs),
                     [Raw] { write(Raw); });
}

void read(std::unique_ptr<Pump> Passing) {
  Pump *Raw = Passing.release(); // onRead() owns it
  g_input_stream_read_async(Raw->source(), Raw->Chunk.data(), ChunkBytes,
                            G_PRIORITY_DEFAULT, nullptr, onRead, Raw);
}

} // namespace

LinkStandIn::~LinkStandIn() {
  if (!Listener)
    return;
  g_socket_service_stop(Listener);
  g_socket_listener_close(G_SOCKET_LISTENER(Listener));
  g_object_unref(Listener);
}

bool LinkStandIn::listen(base::SocketAddress Address) {
  Listener = g_socket_service_new();
  GSocketAddress *Native = toNative(Address);
  const bool Bound =
      g_socket_listener_add_address(G_SOCKET_LISTENER(Listener), Native,
                                    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                    nullptr, nullptr, nullptr) != FALSE;
  g_object_unref(Native);
  g_signal_connect(Listener, "incoming", G_CALLBACK(onConnection), this);
  return Bound;
}

gboolean LinkStandIn::onConnection(GSocketService *, GSocketConnection *Near,
                                   GObject *, gpointer Data) {
  const auto *Link = static_cast<LinkStandIn *>(Data);
  GSocketAddress *Native = toNative(Link->Server);
  GSocketClient *Client = g_socket_client_new();
  GSocketConnection *Far = g_socket_client_connect(
      Client, G_SOCKET_CONNECTABLE(Native), nullptr, nullptr);
  g_object_unref(Client);
  g_object_unref(Native);
  if (!Far)
    return TRUE;
  auto Ends = std::make_shared<Connection>();
  Ends->Link = Link->State;
  Ends->Sides = {G_IO_STREAM(g_object_ref(Near)), G_IO_STREAM(Far)};
  for (const Direction Way : {Up, Down}) {
    auto Passing = std::make_unique<Pump>();
    Passing->Ends = Ends;
    Passing->Way = Way;
    read(std::move(Passing));
  }
  return TRUE;
}

} // namespace burdockstream::testing
