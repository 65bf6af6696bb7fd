// Control interface of a stand-in over UDP: each datagram contains one JSON
// object with the member "command" and is answered by one JSON object.
#ifndef BURDOCKSTREAM_STANDINS_CONTROLPORT_H
#define BURDOCKSTREAM_STANDINS_CONTROLPORT_H

#include "burdockstream/network/UdpSocket.h"

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace burdockstream::standins {

class ControlPort {
public:
  // Executes a command. The answer has the member "error" on failure.
  using Handler = std::function<Json::Value(const Json::Value &Command)>;

  // Binds Local and attaches the socket to Context; null selects the default
  // main context. Returns the error if the socket cannot be opened. Thread
  // safety: loop thread only.
  static base::Result<std::unique_ptr<ControlPort>>
  open(GMainContext *Context, base::SocketAddress Local, Handler Execute);

  // Thread safety: any thread.
  base::SocketAddress localAddress() const { return Socket->localAddress(); }

private:
  ControlPort(std::unique_ptr<network::UdpSocket> Socket, Handler Execute);
  void answer(std::span<const uint8_t> Request, base::SocketAddress From);

  std::unique_ptr<network::UdpSocket> Socket;
  Handler Execute;
};

// Parses Text and passes it to Execute. Malformed JSON and values of the wrong
// type give an answer with the member "error". Thread safety: that of Execute.
Json::Value executeCommand(const ControlPort::Handler &Execute,
                           std::string_view Text);

// Formats Value as JSON on one line. Thread safety: any thread.
std::string toJsonLine(const Json::Value &Value);

// Returns the answer to a failed command, with Text as the member "error".
// Thread safety: any thread.
Json::Value commandError(const std::string &Text);

} // namespace burdockstream::standins

#endif
