// A small HTTP server on the GLib loop: exact paths, whole request bodies,
// whole or streamed answers. It runs on the loop's thread and starts none.
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
  std::string Authorization; // value of the Authorization header, may be empty
  std::string
      Signature; // value of the X-Burdockstream-Signature header, may be empty
  std::map<std::string, std::string> Query;
};

struct ServerAnswer {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

// The answer side of one request. It may be kept and used after the handler has
// returned.
class Responder {
public:
  virtual ~Responder() = default;
  // Sends the whole answer. Precondition: nothing has been sent. Thread safety:
  // loop thread only.
  virtual void send(const ServerAnswer &Answer) = 0;
  // Sends one line of a streamed answer. Thread safety: loop thread only.
  virtual void sendLine(const std::string &Line) = 0;
  // Closes the connection without completing the answer. Thread safety: loop
  // thread only.
  virtual void abort() = 0;
  // Whether the client has closed the connection. Thread safety: loop thread
  // only.
  virtual bool isClosed() const = 0;
};

using Handler = std::function<void(const ServerRequest &,
                                   const std::shared_ptr<Responder> &)>;

class HttpServer {
public:
  explicit HttpServer(Handler InitHandler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Starts to accept connections. Thread safety: loop thread only.
  base::Result<void> listen(base::SocketAddress Address);

  // Stops accepting and closes open connections. Thread safety: loop thread
  // only.
  void close();

private:
  Handler Handle;
  SoupServer *Server;
};

} // namespace burdockstream::http

#endif
