// A single-threaded event loop on poll(2), with timers, and the plumbing that
// all stand-ins share: addresses, UDP sockets, hashes.
#ifndef STAGE_LOOP_HH
#define STAGE_LOOP_HH

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stage {

using Bytes = std::vector<uint8_t>;

// The stage itself failed, so the case could not run.
struct StageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline int64_t nowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline int64_t nowMs() { return nowUs() / 1000; }

struct Address {
  uint32_t Ip = 0; // host byte order
  uint16_t Port = 0;
  auto operator<=>(const Address &) const = default;
  std::string ip() const {
    return std::to_string(Ip >> 24) + "." + std::to_string(Ip >> 16 & 255) +
           "." + std::to_string(Ip >> 8 & 255) + "." + std::to_string(Ip & 255);
  }
  std::string text() const { return ip() + ":" + std::to_string(Port); }
  sockaddr_in native() const {
    sockaddr_in Result{};
    Result.sin_family = AF_INET;
    Result.sin_addr.s_addr = htonl(Ip);
    Result.sin_port = htons(Port);
    return Result;
  }
};

// Deterministic mixing, for hashes and seeded numbers.
inline uint64_t mix(uint64_t X) {
  X += 0x9E3779B97F4A7C15ULL;
  X = (X ^ (X >> 30)) * 0xBF58476D1CE4E5B9ULL;
  X = (X ^ (X >> 27)) * 0x94D049BB133111EBULL;
  return X ^ (X >> 31);
}

class Loop {
public:
  using Action = std::function<void()>;

  void watch(int Fd, std::function<void()> OnReadable) {
    Readers[Fd] = std::move(OnReadable);
  }
  void unwatch(int Fd) { Readers.erase(Fd); }

  void after(int64_t Ms, Action Run) {
    Timers.emplace(nowMs() + Ms, std::move(Run));
  }
  // Runs Action now and then every Ms.
  void every(int64_t Ms, Action Run) {
    Run();
    after(Ms, [this, Ms, Run] { every(Ms, Run); });
  }

  void runFor(int64_t Ms) {
    const int64_t End = nowMs() + Ms;
    while (nowMs() < End)
      turn(End);
  }

private:
  void turn(int64_t End) {
    const int64_t Next =
        Timers.empty() ? End : std::min(End, Timers.begin()->first);
    std::vector<pollfd> Polled;
    for (const auto &Each : Readers)
      Polled.push_back({Each.first, POLLIN, 0});
    ::poll(Polled.data(), Polled.size(),
           static_cast<int>(std::max<int64_t>(0, Next - nowMs())));
    for (const pollfd &Each : Polled) {
      if (Each.revents == 0)
        continue;
      const auto Found = Readers.find(Each.fd);
      if (Found == Readers.end())
        continue;
      const auto Run = Found->second; // it may unwatch itself
      Run();
    }
    while (!Timers.empty() && Timers.begin()->first <= nowMs()) {
      const Action Run = std::move(Timers.begin()->second);
      Timers.erase(Timers.begin());
      Run();
    }
  }

  std::map<int, std::function<void()>> Readers;
  std::multimap<int64_t, Action> Timers;
};

class Udp {
public:
  Udp(Loop &InitLoop, Address InitOwn, std::function<void(Bytes)> OnDatagram)
      : Events(InitLoop), Own(InitOwn),
        Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    const int Size = 1 << 20;
    ::setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Size, sizeof Size);
    const sockaddr_in Native = Own.native();
    if (::bind(Fd, reinterpret_cast<const sockaddr *>(&Native),
               sizeof Native) != 0)
      throw StageError("cannot bind " + Own.text());
    Events.watch(Fd, [this, Run = std::move(OnDatagram)] {
      uint8_t Buffer[2048];
      for (int I = 0; I < 64; ++I) {
        const ssize_t Count = ::recv(Fd, Buffer, sizeof Buffer, 0);
        if (Count < 0)
          return;
        Run(Bytes(Buffer, Buffer + Count));
      }
    });
  }
  ~Udp() {
    Events.unwatch(Fd);
    ::close(Fd);
  }
  Udp(const Udp &) = delete;
  Udp &operator=(const Udp &) = delete;

  void send(const Bytes &Data, Address To) {
    const sockaddr_in Native = To.native();
    ::sendto(Fd, Data.data(), Data.size(), 0,
             reinterpret_cast<const sockaddr *>(&Native), sizeof Native);
  }

private:
  Loop &Events;
  Address Own;
  int Fd;
};

} // namespace stage

#endif
