// The report and the control commands of CallerFleet.
#include "burdockstream/standins/CallerFleet.h"
#include "burdockstream/standins/ControlPort.h"

#include <algorithm>

namespace burdockstream::standins {

namespace {

// Limit on the entries per answer, so that it fits into one datagram.
constexpr size_t MaxRequestPage = 500;

Json::Value latencyJson(std::vector<int64_t> LatenciesUs) {
  Json::Value Object(Json::objectValue);
  std::sort(LatenciesUs.begin(), LatenciesUs.end());
  const auto Quantile = [&LatenciesUs](double Fraction) {
    const auto Rank =
        static_cast<size_t>(Fraction * static_cast<double>(LatenciesUs.size()));
    return Json::Int64{LatenciesUs[std::min(Rank, LatenciesUs.size() - 1)]};
  };
  if (LatenciesUs.empty())
    return Object;
  Object["p50"] = Quantile(0.5);
  Object["p90"] = Quantile(0.9);
  Object["p99"] = Quantile(0.99);
  Object["max"] = Json::Int64{LatenciesUs.back()};
  return Object;
}

void addToCounter(Json::Value &Object, const char *Name, uint64_t Value) {
  Object[Name] = Json::UInt64{Object.get(Name, 0).asUInt64() + Value};
}

} // namespace

Json::Value CallerFleet::kindsJson() const {
  Json::Value Result(Json::objectValue);
  for (const auto &[Kind, Statistics] : Kinds) {
    Json::Value &Object = Result[Kind];
    for (const auto &[Outcome, Count] : Statistics.Outcomes)
      Object[std::string(toString(Outcome))] = Json::UInt64{Count};
    Object["latency_us"] = latencyJson(Statistics.LatenciesUs);
  }
  return Result;
}

Json::Value CallerFleet::boardsJson() const {
  Json::Value Result(Json::objectValue);
  for (const auto &Caller : Callers) {
    for (const BoardSubscription *Subscription : Caller->subscriptions()) {
      Json::Value &Object = Result[Subscription->Board];
      addToCounter(Object, "subscribers", 1);
      addToCounter(Object, "registered", Subscription->Last ? 1 : 0);
      addToCounter(Object, "updates", Subscription->Updates);
      addToCounter(Object, "lost", Subscription->Lost);
      addToCounter(Object, "duplicates", Subscription->Duplicates);
      addToCounter(Object, "out_of_order", Subscription->OutOfOrder);
      addToCounter(Object, "wrong_bodies", Subscription->WrongBodies);
      if (!Subscription->Last)
        continue;
      const Json::UInt Last = *Subscription->Last;
      Object["lowest_last"] =
          std::min(Object.get("lowest_last", Last).asUInt(), Last);
      Object["highest_last"] =
          std::max(Object.get("highest_last", Last).asUInt(), Last);
    }
  }
  return Result;
}

Json::Value CallerFleet::results() const {
  Json::Value Result(Json::objectValue);
  Result["sent"] = Json::UInt64{LastRequest};
  Result["outstanding"] = Json::UInt64{Outstanding};
  Result["kinds"] = kindsJson();
  Result["boards"] = boardsJson();
  Result["wrong_answers"] = WrongAnswers;
  Json::Value &Messages = Result["messages"] = Json::objectValue;
  for (const auto &Caller : Callers) {
    addToCounter(Messages, "retransmissions", Caller->retransmissions());
    addToCounter(Messages, "malformed", Caller->counters().Malformed);
    addToCounter(Messages, "duplicates", Caller->counters().MessageDuplicates);
    addToCounter(Messages, "message_id_reused",
                 Caller->counters().MessageIdReused);
    addToCounter(Messages, "stray", Caller->counters().Stray);
    addToCounter(Messages, "foreign_source", Caller->counters().ForeignSource);
    addToCounter(Messages, "block_restarts", Caller->counters().BlockRestarts);
  }
  return Result;
}

Json::Value CallerFleet::requestsJson(size_t From) const {
  Json::Value Answer(Json::objectValue);
  Json::Value &Entries = Answer["entries"] = Json::arrayValue;
  const size_t End = std::min(Requests.size(), From + MaxRequestPage);
  for (size_t I = From; I < End; ++I) {
    Json::Value Entry(Json::objectValue);
    Entry["rid"] = Requests[I].RequestId;
    Entry["outcome"] = std::string(toString(Requests[I].Outcome));
    Entry["attempts"] = Requests[I].Attempts;
    Entries.append(Entry);
  }
  Answer["next"] = Json::UInt64{std::max(From, End)};
  Answer["total"] = Json::UInt64{Requests.size()};
  return Answer;
}

Json::Value CallerFleet::execute(const Json::Value &Command) {
  const std::string Name = Command["command"].asString();
  if (Name == "results")
    return results();
  if (Name == "requests")
    return requestsJson(Command.get("from", 0).asUInt());
  if (Name == "start")
    start();
  else if (Name == "stop")
    stop();
  else if (Name == "set_rate")
    Options.RequestsPerSecond = Command["requests_per_second"].asDouble();
  else
    return commandError(
        "unknown command; valid commands are results, requests, start, stop "
        "and set_rate");
  return Json::objectValue;
}

} // namespace burdockstream::standins
