// A small HTTP/1.1 server and client on the event loop.
#ifndef STAGE_HTTP_HH
#define STAGE_HTTP_HH

#include "Json.hh"
#include "Loop.hh"

#include <cerrno>
#include <netinet/tcp.h>
#include <set>
#include <utility>

namespace stage {

struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;
};

inline std::string decodeUrl(const std::string &Text) {
  std::string Result;
  for (size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result += static_cast<char>(
          std::strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  return Result;
}

// Length of the first message in Data, 0 if it is incomplete. HeadEnd is the
// position of its body.
inline size_t messageLength(const std::string &Data, size_t &HeadEnd) {
  HeadEnd = Data.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return 0;
  HeadEnd += 4;
  size_t Length = 0;
  std::string Head = Data.substr(0, HeadEnd);
  for (char &C : Head)
    C = static_cast<char>(tolower(C));
  if (const size_t At = Head.find("content-length:"); At != std::string::npos)
    Length = std::strtoul(Head.c_str() + At + 15, nullptr, 10);
  return Data.size() >= HeadEnd + Length ? HeadEnd + Length : 0;
}

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Loop &InitLoop, int InitFd) : Events(InitLoop), Fd(InitFd) {}
  ~Connection() { close(); }
  void close() {
    if (Fd < 0)
      return;
    Events.unwatch(Fd);
    ::close(Fd);
    Fd = -1;
  }
  bool isOpen() const { return Fd >= 0; }
  void answer(int Status, const std::string &Body) {
    if (Fd < 0)
      return;
    const std::string Text =
        "HTTP/1.1 " + std::to_string(Status) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body;
    // Loopback buffers hold all answers of the stage.
    if (::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(Text.size()))
      close();
  }

private:
  friend class HttpServer;
  Loop &Events;
  int Fd;
  std::string Data;
};
using Out = std::shared_ptr<Connection>;

class HttpServer {
public:
  using Handler = std::function<void(const Request &, const Out &)>;

  HttpServer(Loop &InitLoop, Address Own, Handler InitHandle)
      : Events(InitLoop), Handle(std::move(InitHandle)),
        Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    const int On = 1;
    ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    const sockaddr_in Native = Own.native();
    if (::bind(Fd, reinterpret_cast<const sockaddr *>(&Native),
               sizeof Native) != 0 ||
        ::listen(Fd, 256) != 0)
      throw StageError("cannot listen at " + Own.text());
    Events.watch(Fd, [this] { accept(); });
  }
  ~HttpServer() {
    Events.unwatch(Fd);
    ::close(Fd);
    for (const Out &Each : Open)
      Each->close();
  }
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  void accept() {
    const int New =
        ::accept4(Fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (New < 0)
      return;
    const int On = 1;
    ::setsockopt(New, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    auto Created = std::make_shared<Connection>(Events, New);
    Open.insert(Created);
    Events.watch(
        New, [this, Raw = Created.get()] { read(Raw->shared_from_this()); });
  }
  void read(const Out &From) {
    char Buffer[65536];
    const ssize_t Count = ::recv(From->Fd, Buffer, sizeof Buffer, 0);
    if (Count == 0 || (Count < 0 && errno != EAGAIN)) {
      From->close();
      Open.erase(From);
      return;
    }
    if (Count > 0)
      From->Data.append(Buffer, static_cast<size_t>(Count));
    size_t HeadEnd = 0;
    while (const size_t Length = messageLength(From->Data, HeadEnd)) {
      const std::string Text = From->Data.substr(0, Length);
      From->Data.erase(0, Length);
      dispatch(Text, HeadEnd, From);
    }
  }
  void dispatch(const std::string &Text, size_t HeadEnd, const Out &From) {
    Request Result;
    const size_t Space = Text.find(' ');
    Result.Method = Text.substr(0, Space);
    std::string Target =
        Text.substr(Space + 1, Text.find(' ', Space + 1) - Space - 1);
    if (const size_t Mark = Target.find('?'); Mark != std::string::npos) {
      std::string Rest = Target.substr(Mark + 1) + "&";
      Target.resize(Mark);
      for (size_t At = 0, End; (End = Rest.find('&', At)) != std::string::npos;
           At = End + 1) {
        const std::string Pair = Rest.substr(At, End - At);
        const size_t Equals = Pair.find('=');
        if (Equals != std::string::npos)
          Result.Query[Pair.substr(0, Equals)] =
              decodeUrl(Pair.substr(Equals + 1));
      }
    }
    Result.Path = decodeUrl(Target);
    Result.Body = Text.substr(HeadEnd);
    Handle(Result, From);
  }

  Loop &Events;
  Handler Handle;
  int Fd;
  std::set<Out> Open;
};

// Sends one request on a connection of its own. Status 0: no answer within a
// second.
inline void callHttp(Loop &Events, Address To, const std::string &Method,
                     const std::string &Path, const std::string &Body,
                     std::function<void(int Status)> Done) {
  const int Fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Native = To.native();
  ::connect(Fd, reinterpret_cast<const sockaddr *>(&Native), sizeof Native);
  // Loopback connections are established at once or refused.
  const std::string Text = Method + " " + Path +
                           " HTTP/1.1\r\nHost: " + To.text() +
                           "\r\nContent-Type: application/json\r\n"
                           "Connection: close\r\nContent-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  auto Data = std::make_shared<std::string>();
  auto Ended = std::make_shared<bool>(false);
  const auto End = [&Events, Fd, Ended, Run = std::move(Done)](int Status) {
    if (std::exchange(*Ended, true))
      return;
    Events.unwatch(Fd);
    ::close(Fd);
    Run(Status);
  };
  if (::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL) < 0)
    return End(0);
  Events.watch(Fd, [Fd, Data, End] {
    char Buffer[8192];
    const ssize_t Count = ::recv(Fd, Buffer, sizeof Buffer, 0);
    if (Count < 0 && errno == EAGAIN)
      return;
    if (Count <= 0)
      return End(0);
    Data->append(Buffer, static_cast<size_t>(Count));
    size_t HeadEnd = 0;
    if (messageLength(*Data, HeadEnd) > 0)
      End(std::atoi(Data->c_str() + 9));
  });
  Events.after(1000, [End] { End(0); });
}

} // namespace stage

#endif
