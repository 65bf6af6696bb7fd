// Load generator: many caller stand-ins in one process send a random but
// reproducible mix of requests, subscribe to boards and report the outcomes.
#ifndef BURDOCKSTREAM_STANDINS_CALLERFLEET_H
#define BURDOCKSTREAM_STANDINS_CALLERFLEET_H

#include "burdockstream/standins/CallerStandin.h"

#include <json/value.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockstream::standins {

struct FleetOptions {
  CallerOptions Caller;
  std::string ServiceName;
  size_t Callers = 10;
  double RequestsPerSecond = 100; // over all callers; Poisson arrivals
  // Weight of each request kind: echo, sheet, put, booking, certificate.
  std::map<std::string, uint32_t> Mix{{"echo", 1}};
  std::vector<std::string> Boards; // each caller subscribes to all of them
  base::Duration Deadline = std::chrono::seconds(10); // for POST requests
  size_t MaxSheetBytes = 20'000;
  // Retries after a not-run response or no response, with the same request id.
  int Retries = 0;
  uint64_t Seed = 1;
};

// The result of one non-idempotent request. Tests compare these with the
// journals of the endpoint stand-ins to detect requests that ran twice.
struct RequestOutcome {
  std::string RequestId;
  CallOutcome Outcome = CallOutcome::NoResponse;
  int Attempts = 1;
};

class CallerFleet {
public:
  // Opens all callers on Context; null selects the default main context.
  // Returns an error for an unknown request kind or if a socket cannot be
  // opened. Thread safety: loop thread only.
  static base::Result<std::unique_ptr<CallerFleet>>
  open(GMainContext *Context, const FleetOptions &Options);
  ~CallerFleet();
  CallerFleet(const CallerFleet &) = delete;
  CallerFleet &operator=(const CallerFleet &) = delete;

  // Starts or stops the generation of requests. Requests in progress continue.
  // Thread safety: loop thread only.
  void start();
  void stop();

  // Sends one request of Kind (a key of FleetOptions::Mix) from caller Index.
  // Precondition: Index is less than FleetOptions::Callers. Thread safety: loop
  // thread only.
  void sendRequest(size_t Index, const std::string &Kind);

  // Returns the report of all outcomes and counters so far. Thread safety: loop
  // thread only.
  Json::Value results() const;

  // Executes a command: {"command": "results"}, {"command": "start"},
  // {"command": "stop"}, {"command": "set_rate", "requests_per_second": N},
  // {"command": "requests", "from": INDEX} (outcomes of POST requests). Any
  // other command returns an object with the member "error". May throw jsoncpp
  // exceptions for values of the wrong type; executeCommand catches them.
  // Thread safety: loop thread only.
  Json::Value execute(const Json::Value &Command);

  // Thread safety: loop thread only.
  size_t outstanding() const { return Outstanding; }
  const std::vector<RequestOutcome> &requests() const { return Requests; }

private:
  struct KindStatistics {
    std::map<CallOutcome, uint64_t> Outcomes;
    std::vector<int64_t> LatenciesUs; // of correct responses
  };
  struct Attempt {
    size_t Index = 0;
    std::string Kind;
    std::string RequestId;
    CallerRequest Request;
    int Number = 1;
  };

  CallerFleet(GMainContext *Context, const FleetOptions &Options);
  std::string randomKind();
  CallerRequest makeRequest(const std::string &Kind,
                            const std::string &RequestId);
  void send(const Attempt &Current);
  void handleResult(const Attempt &Current, const CallResult &Result);
  void record(const Attempt &Current, const CallResult &Result);
  void sendDueRequests();
  Json::Value kindsJson() const;
  Json::Value boardsJson() const;
  Json::Value requestsJson(size_t From) const;

  FleetOptions Options;
  TimerQueue Timers;
  base::RandomSource Random;
  std::vector<std::unique_ptr<CallerStandin>> Callers;
  TimerQueue::TimerId ArrivalTimer = 0;
  double NextArrival = 0; // seconds on the monotonic clock
  uint64_t LastRequest = 0;
  size_t Outstanding = 0;
  std::map<std::string, KindStatistics> Kinds;
  std::vector<RequestOutcome> Requests;
  Json::Value WrongAnswers{Json::arrayValue};
};

} // namespace burdockstream::standins

#endif
