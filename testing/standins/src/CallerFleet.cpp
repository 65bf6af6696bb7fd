#include "burdockstream/standins/CallerFleet.h"

#include "burdockstream/standins/ExpectedBodies.h"

#include <algorithm>
#include <cmath>
#include <glog/logging.h>

namespace burdockstream::standins {

namespace {

// Interval at which due requests are sent.
constexpr base::Duration ArrivalStep = std::chrono::milliseconds(1);

// Limits the number of wrong responses that the report lists.
constexpr Json::ArrayIndex MaxWrongAnswers = 20;

double monotonicSeconds() {
  return static_cast<double>(monotonicNow().time_since_epoch().count()) / 1e6;
}

bool isNonIdempotent(const std::string &Kind) {
  return Kind == "booking" || Kind == "certificate";
}

} // namespace

base::Result<std::unique_ptr<CallerFleet>>
CallerFleet::open(GMainContext *Context, const FleetOptions &Options) {
  for (const auto &[Kind, Weight] : Options.Mix)
    if (Kind != "echo" && Kind != "sheet" && Kind != "put" &&
        !isNonIdempotent(Kind))
      return base::makeError(base::ErrorKind::InvalidArgument,
                             "unknown request kind '" + Kind +
                                 "'; valid kinds are echo, sheet, put, "
                                 "booking and certificate");
  std::unique_ptr<CallerFleet> Fleet(new CallerFleet(Context, Options));
  for (size_t I = 0; I < Options.Callers; ++I) {
    auto Caller = CallerStandin::open(Context, Fleet->Timers, Fleet->Random,
                                      Options.Caller);
    if (!Caller)
      return Caller.error();
    for (const std::string &Board : Options.Boards)
      Caller.value()->subscribe(Options.ServiceName, Board);
    Fleet->Callers.push_back(std::move(Caller.value()));
  }
  return Fleet;
}

CallerFleet::CallerFleet(GMainContext *Context, const FleetOptions &InitOptions)
    : Options(InitOptions), Timers(Context), Random(Options.Seed) {}

CallerFleet::~CallerFleet() { stop(); }

void CallerFleet::start() {
  stop();
  NextArrival = monotonicSeconds();
  sendDueRequests();
}

void CallerFleet::stop() {
  Timers.cancel(ArrivalTimer);
  ArrivalTimer = 0;
}

// Sends the requests that are due and schedules the next call.
void CallerFleet::sendDueRequests() {
  const double Now = monotonicSeconds();
  while (Options.RequestsPerSecond > 0 && NextArrival <= Now &&
         !Callers.empty()) {
    sendRequest(base::randomBelow(Random, Callers.size()), randomKind());
    const double Uniform =
        (static_cast<double>(Random() >> 11) + 0.5) / 9007199254740992.0;
    NextArrival -= std::log(Uniform) / Options.RequestsPerSecond;
  }
  ArrivalTimer = Timers.after(ArrivalStep, [this] { sendDueRequests(); });
}

std::string CallerFleet::randomKind() {
  uint64_t Total = 0;
  for (const auto &[Kind, Weight] : Options.Mix)
    Total += Weight;
  uint64_t Pick = Total > 0 ? base::randomBelow(Random, Total) : 0;
  for (const auto &[Kind, Weight] : Options.Mix) {
    if (Pick < Weight)
      return Kind;
    Pick -= Weight;
  }
  return "echo";
}

CallerRequest CallerFleet::makeRequest(const std::string &Kind,
                                       const std::string &RequestId) {
  CallerRequest Request;
  if (Kind == "echo") {
    Request.Path = "/echo/" + std::to_string(Random() % 100);
    Request.Query = {"n=" + std::to_string(Random() % 1000)};
    Request.ExpectedBody =
        echoBody(Options.ServiceName, Request.Path, Request.Query);
  } else if (Kind == "sheet") {
    const size_t Size = 1 + base::randomBelow(Random, Options.MaxSheetBytes);
    const std::string Name =
        "s" + std::to_string(Random() % 50) + "-" + std::to_string(Size);
    Request.Path = "/sheet/" + Name;
    Request.ExpectedBody = sheetBody(Options.ServiceName, Name, Size);
  } else if (Kind == "put") {
    Request.Method = coap::Code::Put;
    Request.Path = "/profile/" + std::to_string(Random() % 100);
    Request.Payload = "name=" + RequestId;
    Request.ExpectedCode = coap::Code::Changed;
    Request.ExpectedBody = runBody(Options.ServiceName, Request.Path, "");
  } else {
    const int64_t Issued = wallNow().Milliseconds;
    const int64_t Deadline = Options.Deadline.count() / 1000;
    Request.Method = coap::Code::Post;
    Request.Path = "/" + Kind;
    Request.Query = {"rid=" + RequestId, "iat=" + std::to_string(Issued),
                     "dl=" + std::to_string(Issued + Deadline)};
    Request.Payload = "order " + RequestId;
    Request.ExpectedCode = coap::Code::Created;
    Request.ExpectedBody =
        runBody(Options.ServiceName, Request.Path, RequestId);
  }
  return Request;
}

void CallerFleet::sendRequest(size_t Index, const std::string &Kind) {
  Attempt Current;
  Current.Index = Index;
  Current.Kind = Kind;
  // The seed distinguishes the request ids of several fleets.
  Current.RequestId =
      "f" + std::to_string(Options.Seed) + "-" + std::to_string(++LastRequest);
  Current.Request = makeRequest(Kind, Current.RequestId);
  ++Outstanding;
  send(Current);
}

void CallerFleet::send(const Attempt &Current) {
  Callers.at(Current.Index)
      ->request(Current.Request, [this, Current](const CallResult &Result) {
        handleResult(Current, Result);
      });
}

void CallerFleet::handleResult(const Attempt &Current,
                               const CallResult &Result) {
  const bool ShouldRetry = Current.Number <= Options.Retries &&
                           (Result.Outcome == CallOutcome::NotRun ||
                            Result.Outcome == CallOutcome::NoResponse);
  if (!ShouldRetry) {
    record(Current, Result);
    return;
  }
  Attempt Next = Current;
  ++Next.Number;
  Timers.after(std::chrono::seconds(Result.MaxAgeSeconds.value_or(0)),
               [this, Next] { send(Next); });
}

void CallerFleet::record(const Attempt &Current, const CallResult &Result) {
  --Outstanding;
  KindStatistics &Statistics = Kinds[Current.Kind];
  ++Statistics.Outcomes[Result.Outcome];
  if (Result.Outcome == CallOutcome::Correct)
    Statistics.LatenciesUs.push_back(Result.Latency.count());
  if (isNonIdempotent(Current.Kind))
    Requests.push_back({Current.RequestId, Result.Outcome, Current.Number});
  if (Result.Outcome != CallOutcome::Wrong ||
      WrongAnswers.size() >= MaxWrongAnswers)
    return;
  Json::Value Entry(Json::objectValue);
  Entry["path"] = Current.Request.Path;
  Entry["code"] = coap::toString(Result.Code);
  Entry["expected"] = Current.Request.ExpectedBody.substr(0, 100);
  Entry["received"] = Result.Body.substr(0, 100);
  Entry["expected_bytes"] = Json::UInt64{Current.Request.ExpectedBody.size()};
  Entry["received_bytes"] = Json::UInt64{Result.Body.size()};
  WrongAnswers.append(Entry);
}

} // namespace burdockstream::standins
