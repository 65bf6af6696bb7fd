// Test harness that drives one RequestCore in virtual time. The test sends the
// messages of callers, endpoint and other agents, and inspects the core's
// actions.
#ifndef BURDOCKSTREAM_REQUESTS_TEST_COREHARNESS_H
#define BURDOCKSTREAM_REQUESTS_TEST_COREHARNESS_H

#include "burdockstream/coap/CoapMessage.h"
#include "burdockstream/requests/RequestCore.h"

#include <map>
#include <string>
#include <vector>

namespace burdockstream::requests {

using coap::CoapMessage;
using coap::Code;
using coap::MessageType;
using messages::BucketRole;
using messages::Bytes;
using namespace std::chrono_literals;

inline constexpr base::DaemonId SelfId{0xa};
inline constexpr base::DaemonId PeerId{0xb};
inline constexpr int64_t StartWall = 1'000'000'000;

inline std::string text(const CoapMessage &Message) {
  return {Message.Payload.begin(), Message.Payload.end()};
}

inline Bytes bytes(std::string_view Text) { return {Text.begin(), Text.end()}; }

inline base::SocketAddress callerAddress(uint16_t Number) {
  return {0x0a000001, static_cast<uint16_t>(20000 + Number)};
}

records::ServiceConfig testConfig(uint16_t Slots);

class CoreHarness {
public:
  explicit CoreHarness(uint16_t Slots = 2, Settings Config = {});

  // Builds a confirmable request with a new message id and token.
  CoapMessage request(Code Method, std::string_view Path,
                      std::vector<std::string> Query = {});
  // Builds a POST with rid, iat now and dl after Limit.
  CoapMessage post(std::string_view RequestId, base::Duration Limit = 10s);

  // Deliver one message to the core; its actions are appended to Out.
  void fromCaller(const CoapMessage &Message, uint16_t Caller = 0);
  void fromEndpoint(const CoapMessage &Message);
  // Sends the endpoint's piggybacked response to Request.
  void answer(const CoapMessage &Request, std::string_view Payload,
              Code Result = Code::Content);

  // Advances the virtual time and runs all timers that become due.
  void advance(base::Duration Time);
  void setAuthority(messages::BucketAuthority NewAuthority);

  // Remove and return the messages sent since the last call.
  std::vector<CoapMessage> toCaller();
  std::vector<CoapMessage> toEndpoint();
  template <typename T> std::vector<T> toPeer() {
    std::vector<T> Found;
    std::erase_if(Out, [&Found](const Action &Value) {
      const auto *Peer = std::get_if<SendToPeer>(&Value);
      const T *Content =
          Peer == nullptr ? nullptr : std::get_if<T>(&Peer->Content);
      if (Content != nullptr)
        Found.push_back(*Content);
      return Content != nullptr;
    });
    return Found;
  }
  int counted(Counter Value) { return Counts[Value]; }

  // Completes Count requests, so that slow start grants more slots.
  void warmUp(int Count);

  base::Now Now{base::TimePoint{} + 1000s, {StartWall}};
  messages::BucketAuthority Authority;
  std::map<Counter, int> Counts;
  Hooks Calls;
  base::RandomSource Random{7};
  Sink Out;
  std::optional<base::DaemonId> NextPeer;
  std::unique_ptr<RequestCore> Core;

private:
  uint16_t NextId = 1;
};

} // namespace burdockstream::requests

#endif
