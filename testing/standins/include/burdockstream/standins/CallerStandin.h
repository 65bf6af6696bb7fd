// Stand-in for one caller: a CoAP client (RFC 7252) on its own UDP socket with
// retransmission, block-wise transfer (RFC 7959) and Observe (RFC 7641). It
// compares every response byte by byte with the expected one.
#ifndef BURDOCKSTREAM_STANDINS_CALLERSTANDIN_H
#define BURDOCKSTREAM_STANDINS_CALLERSTANDIN_H

#include "burdockstream/network/UdpSocket.h"
#include "burdockstream/standins/BoardSubscription.h"
#include "burdockstream/standins/ReliableSender.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockstream::standins {

struct CallerOptions {
  base::SocketAddress Service;
  base::SocketAddress Local{0x7f000001, 0};
  RetransmitOptions Retransmit;
  // Interval at which subscriptions are renewed; zero disables renewal.
  base::Duration ReregisterInterval{0};
  // Send the Block2 option in the first GET request already. Required when the
  // caller talks to an endpoint stand-in directly, which sends a body in blocks
  // only if the request has the option.
  bool EarlyBlock2 = false;
  // Delay before a failed registration is retried.
  base::Duration RegistrationRetryDelay = std::chrono::seconds(2);
};

struct CallerRequest {
  coap::Code Method = coap::Code::Get;
  std::string Path;
  std::vector<std::string> Query;
  std::string Payload;
  coap::Code ExpectedCode = coap::Code::Content;
  std::string ExpectedBody;
  base::Duration ResponseTimeout = std::chrono::seconds(60); // for one response
};

enum class CallOutcome : uint8_t {
  Correct,     // the expected code and body
  Wrong,       // 2.xx, but not the expected code or body
  NotRun,      // 5.03 with the body "not-run": guaranteed not run
  Unknown,     // 5.04 with the body "unknown": may have run
  ClientError, // 4.xx
  ServerError, // any other 5.xx
  NoResponse,  // no acknowledgment, or no response within the time-out
  Rejected,    // answered by a Reset
};

// Returns the name of Outcome in reports. Thread safety: any thread.
std::string_view toString(CallOutcome Outcome);

struct CallResult {
  CallOutcome Outcome = CallOutcome::NoResponse;
  coap::Code Code = coap::Code::Empty;
  base::Duration Latency{0};
  std::optional<uint32_t> MaxAgeSeconds;
  std::string Body;
};

struct CallerCounters {
  uint64_t Malformed = 0;
  uint64_t MessageDuplicates = 0; // recognized by message id and ignored
  uint64_t MessageIdReused = 0;   // a recent message id with other content
  uint64_t Stray = 0;             // token of no request or subscription
  uint64_t ForeignSource = 0;     // not from the service address
  uint64_t BlockRestarts = 0;     // the body changed between blocks
};

class CallerStandin {
public:
  using Callback = std::function<void(const CallResult &)>;

  // Opens the socket and attaches it to Context; null selects the default main
  // context. Timers and Random must outlive the caller. Returns the error if
  // the socket cannot be opened. Thread safety: loop thread only.
  static base::Result<std::unique_ptr<CallerStandin>>
  open(GMainContext *Context, TimerQueue &Timers, base::RandomSource &Random,
       const CallerOptions &Options);
  ~CallerStandin();
  CallerStandin(const CallerStandin &) = delete;
  CallerStandin &operator=(const CallerStandin &) = delete;

  // Sends Request. Done is called once, from the main loop, with the outcome.
  // Thread safety: loop thread only.
  void request(CallerRequest Request, Callback Done);

  // Subscribes to Board until the caller is destroyed. The bodies of the
  // updates are expected to contain ServiceName. Thread safety: loop thread
  // only.
  void subscribe(const std::string &ServiceName, const std::string &Board);

  // Thread safety: loop thread only.
  std::vector<const BoardSubscription *> subscriptions() const;
  const CallerCounters &counters() const { return Counters; }
  uint64_t retransmissions() const { return Sender.retransmissions(); }
  size_t outstanding() const { return Calls.size(); }
  base::SocketAddress localAddress() const { return Socket->localAddress(); }

private:
  using Token = coap::Bytes;
  struct Call {
    CallerRequest Request;
    Callback Done;
    base::TimePoint Start;
    TimerQueue::TimerId ResponseTimer = 0;
    uint16_t MessageId = 0;
    std::string Body;
    coap::Bytes ETag;
    uint32_t NextBlock = 0;
    int Restarts = 0;
  };
  struct Subscription {
    BoardSubscription Board;
    uint16_t MessageId = 0;
    TimerQueue::TimerId Timer = 0;
  };

  CallerStandin(TimerQueue &Timers, base::RandomSource &Random,
                const CallerOptions &Options);
  Token newToken();
  void sendCall(const Token &Id);
  void finish(const Token &Id, CallResult Result);
  void sendRegistration(const Token &Id);
  void scheduleRegistration(const Token &Id, base::Duration Delay);
  void receive(std::span<const uint8_t> Datagram, base::SocketAddress From);
  void receiveConfirmable(std::span<const uint8_t> Datagram,
                          const coap::CoapMessage &Message);
  void sendEmptyReply(const coap::CoapMessage &Message, bool Known,
                      uint64_t Hash);
  bool dispatch(const coap::CoapMessage &Message);
  void handleUpdate(const Token &Id, Subscription &Current,
                    const coap::CoapMessage &Message);
  void handleResponse(const Token &Id, Call &Current,
                      const coap::CoapMessage &Message);
  void handleBlock(const Token &Id, Call &Current,
                   const coap::CoapMessage &Message);

  // A confirmable message and the reply to it, kept for the lifetime of the
  // message id.
  struct ReceivedMessage {
    uint64_t Hash = 0;
    coap::Bytes Reply;
  };

  TimerQueue &Timers;
  base::RandomSource &Random;
  CallerOptions Options;
  std::unique_ptr<network::UdpSocket> Socket;
  ReliableSender Sender;
  std::map<Token, Call> Calls;
  std::map<Token, Subscription> Subscriptions;
  std::unordered_map<uint16_t, ReceivedMessage> ReceivedMessages;
  std::deque<std::pair<base::TimePoint, uint16_t>> ReceivedExpiry;
  CallerCounters Counters;
};

} // namespace burdockstream::standins

#endif
