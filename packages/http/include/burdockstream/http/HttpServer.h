// Minimal HTTP server on the GLib main loop. One handler receives every request
// with its complete body and sends a complete or a streamed response. The
// server runs on the loop's thread and starts no threads.
#ifndef BURDOCKSTREAM_HTTP_HTTPSERVER_H
#define BURDOCKSTREAM_HTTP_HTTPSERVER_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/SocketAddress.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// libsoup's own forward declaration, so that users of this header need no
// libsoup headers.
typedef struct _SoupServer SoupServer; // NOLINT(bugprone-reserved-identifier)

namespace burdockstream::http {

struct ServerRequest {
  std::string Method;
  std::string Path;
  std::string Body;
  // Value of the Authorization header; empty if absent.
  std::string Authorization;
  // Value of the X-Burdockstream-Signature header; empty if absent.
  std::string Signature;
  std::map<std::string, std::string> Query;
};

struct ServerAnswer {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::map<std::string, std::string> Headers = {};
};

// Sends the response to one request. A handler may keep it and respond after it
// has returned. If the last reference is released before send() or abort(), the
// connection is closed.
class Responder {
public:
  virtual ~Responder() = default;
  // Sends the complete response. Has no effect after send() or abort(), or if
  // the client has closed the connection. Precondition: sendLine() has not been
  // called. Thread safety: loop thread only.
  virtual void send(const ServerAnswer &Answer) = 0;
  // Sends Line and a newline as part of a chunked response with status 200. Has
  // no effect if the client has closed the connection. Thread safety: loop
  // thread only.
  virtual void sendLine(const std::string &Line) = 0;
  // Closes the connection without completing the response. Thread safety: loop
  // thread only.
  virtual void abort() = 0;
  // Returns whether the exchange has ended, by a complete response or a closed
  // connection. Thread safety: loop thread only.
  virtual bool isClosed() const = 0;
};

using Handler = std::function<void(const ServerRequest &,
                                   const std::shared_ptr<Responder> &)>;

inline constexpr int DefaultBacklog = 10; // that of GSocket

class HttpServer {
public:
  explicit HttpServer(Handler InitHandler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Starts to accept connections on Address. At most Backlog connections wait
  // to be accepted; the kernel drops further ones, whose clients try again
  // after a second. Errors: Unavailable if the address cannot be bound. Thread
  // safety: loop thread only.
  base::Result<void> listen(base::SocketAddress Address,
                            int Backlog = DefaultBacklog);

  // Stops accepting connections and closes the open ones; listen() may be
  // called again. Thread safety: loop thread only.
  void close();

private:
  Handler Handle;
  SoupServer *Server;
};

} // namespace burdockstream::http

#endif
