#include "burdockstream/testing/PlatformStoreStandIn.h"

#include "burdockstream/base/JsonText.h"
#include "burdockstream/network/LoopTimer.h"
#include "burdockstream/store/Base64.h"

#include <algorithm>
#include <span>
#include <utility>

namespace burdockstream::testing {

namespace {

constexpr std::chrono::milliseconds TickInterval{20};
constexpr size_t PageItems = 50; // small, so that tests see several pages

// For a fleet whose processes all connect again when the store is back.
constexpr int Backlog = 1024;

int64_t nowMs() { return g_get_monotonic_time() / 1000; }

http::ServerAnswer answer(unsigned Status, const Json::Value &Body) {
  return {Status, "application/json", base::compactJson(Body)};
}

http::ServerAnswer empty(unsigned Status) {
  return answer(Status, Json::Value(Json::objectValue));
}

std::string parameter(const http::ServerRequest &Request, const char *Name) {
  const auto Found = Request.Query.find(Name);
  return Found == Request.Query.end() ? "" : Found->second;
}

int64_t number(const std::string &Text) {
  return Text.empty() ? 0 : g_ascii_strtoll(Text.c_str(), nullptr, 10);
}

Json::Value parse(const std::string &Body) {
  const auto Document = base::JsonDocument::parse(Body, "request");
  return Document.has_value() ? Document.value().root()
                              : Json::Value(Json::objectValue);
}

// Closes the connection behind Answer. libsoup sends each POST on a new
// connection; idle ones slow down the loop of a test with many processes.
http::ServerAnswer closing(http::ServerAnswer Answer) {
  Answer.Headers["Connection"] = "close";
  return Answer;
}

// Returns the id behind Prefix in Path, or -1.
int64_t idAfter(const std::string &Path, const std::string &Prefix) {
  return Path.starts_with(Prefix) ? number(Path.substr(Prefix.size())) : -1;
}

} // namespace

PlatformStoreStandIn::PlatformStoreStandIn()
    : Server([this](const http::ServerRequest &Request,
                    const std::shared_ptr<http::Responder> &Out) {
        onRequest(Request, Out);
      }) {
  Timer = network::callEvery(TickInterval, [this] { tick(); });
}

PlatformStoreStandIn::~PlatformStoreStandIn() { g_source_remove(Timer); }

base::Result<void> PlatformStoreStandIn::listen(base::SocketAddress Address) {
  return Server.listen(Address, Backlog);
}

int64_t PlatformStoreStandIn::put(const std::string &Key,
                                  const std::string &Value) {
  write(Key, Value, 0);
  OperatorChanges.push_back({Key, Value});
  serveWatches();
  return Current.Revision;
}

void PlatformStoreStandIn::remove(const std::string &Key) {
  erase(Key);
  OperatorChanges.push_back({Key, std::nullopt});
  serveWatches();
}

void PlatformStoreStandIn::copy() {
  Copied = Current;
  OperatorChanges.clear();
}

void PlatformStoreStandIn::restore() {
  Current = Copied;
  ++Era;
  for (const Watcher &Waiting : Watchers)
    Waiting.Out->abort();
  Watchers.clear();
}

void PlatformStoreStandIn::rewriteOperatorChanges() {
  for (const OperatorChange &Each : OperatorChanges)
    if (Each.Value)
      write(Each.Key, *Each.Value, 0);
    else
      erase(Each.Key);
  serveWatches();
}

void PlatformStoreStandIn::reply(const std::shared_ptr<http::Responder> &Out,
                                 http::ServerAnswer Answer) const {
  Answer.Headers["Store-Era"] =
      Fault == StoreFault::InvalidEra ? "9 of 12" : std::to_string(Era);
  Out->send(Answer);
}

void PlatformStoreStandIn::revoke(const std::string &Prefix) {
  std::vector<std::string> Gone;
  for (const auto &[Key, Value] : Current.Items)
    if (Key.starts_with(Prefix))
      Gone.push_back(Key);
  for (const std::string &Key : Gone)
    erase(Key);
  serveWatches();
}

void PlatformStoreStandIn::compact() {
  Current.Compacted = Current.Revision;
  Current.History.clear();
  for (const Watcher &Waiting : Watchers)
    Waiting.Out->abort();
  Watchers.clear();
}

void PlatformStoreStandIn::lapse() {
  while (!Current.Leases.empty())
    endLease(Current.Leases.begin()->first);
  serveWatches();
}

void PlatformStoreStandIn::setFault(StoreFault Kind) {
  Fault = Kind;
  if (Kind == StoreFault::None)
    for (const auto &Waiting : std::exchange(Unanswered, {}))
      Waiting->abort();
}

void PlatformStoreStandIn::answerNext(const std::string &Path,
                                      const std::string &Body) {
  NextAnswers[Path] = Body;
}

void PlatformStoreStandIn::holdNextWatchAnswer(const std::string &Prefix) {
  HeldPrefix = Prefix;
}

void PlatformStoreStandIn::sendHeldAnswers() {
  for (const auto &[Out, Answer] : std::exchange(HeldAnswers, {}))
    reply(Out, Answer);
}

std::string PlatformStoreStandIn::value(const std::string &Key) const {
  const auto Found = Current.Items.find(Key);
  return Found == Current.Items.end() ? "" : Found->second.Value;
}

uint64_t PlatformStoreStandIn::calls(const std::string &Path) const {
  const auto Found = Calls.find(Path);
  return Found == Calls.end() ? 0 : Found->second;
}

bool PlatformStoreStandIn::delays(const http::ServerRequest &Request) {
  if (!DelayedKey || Request.Path != "/api/kv-txn" ||
      parse(Request.Body)["write"][0]["key"].asString() != *DelayedKey)
    return false;
  DelayedKey.reset();
  DelayedWrites.push_back(Request.Body);
  return true;
}

void PlatformStoreStandIn::executeDelayedWrites() {
  for (const std::string &Body : std::exchange(DelayedWrites, {}))
    transact(Body);
  serveWatches();
}

bool PlatformStoreStandIn::fails(const http::ServerRequest &Request,
                                 const std::shared_ptr<http::Responder> &Out) {
  switch (Fault) {
  case StoreFault::None:
  case StoreFault::InvalidEra:
    return false;
  case StoreFault::Busy:
    reply(Out, empty(503));
    return true;
  case StoreFault::Malformed:
    reply(Out, {200, "application/json", R"([{"events":[7]}])"});
    return true;
  case StoreFault::Many:
    reply(Out, empty(429));
    return true;
  case StoreFault::Reset:
    Out->abort();
    return true;
  case StoreFault::Silent:
    Unanswered.push_back(Out);
    return true;
  case StoreFault::LostAnswer:
    if (Request.Path != "/api/kv-txn")
      return false;
    transact(Request.Body);
    Out->abort();
    return true;
  }
  return false;
}

void PlatformStoreStandIn::onRequest(
    const http::ServerRequest &Request,
    const std::shared_ptr<http::Responder> &Out) {
  ++Calls[Request.Path];
  if (fails(Request, Out))
    return;
  if (delays(Request)) {
    Unanswered.push_back(Out);
    return;
  }
  if (const auto Next = NextAnswers.extract(Request.Path); !Next.empty())
    return reply(Out, {200, "application/json", Next.mapped()});
  const int64_t Keep = idAfter(Request.Path, "/api/kv-keep/");
  const int64_t End = idAfter(Request.Path, "/api/kv-lease-end/");
  if (Request.Path == "/api/kv-key")
    reply(Out, readKey(parameter(Request, "key")));
  else if (Request.Path == "/api/kv-range")
    reply(Out,
          readRange(parameter(Request, "prefix"), parameter(Request, "after")));
  else if (Request.Path == "/api/kv-txn")
    reply(Out, closing(transact(Request.Body)));
  else if (Request.Path == "/api/kv-lease")
    reply(Out, closing(grant(Request.Body)));
  else if (Keep >= 0)
    reply(Out, closing(keep(Keep)));
  else if (End >= 0)
    reply(Out, end(End));
  else if (Request.Path == "/api/kv-watch") {
    WatchesAhead +=
        number(parameter(Request, "after")) > Current.Revision ? 1 : 0;
    Watchers.push_back(
        {parameter(Request, "prefix"), number(parameter(Request, "after")),
         nowMs() + number(parameter(Request, "wait_timeout_ms")), Out});
  } else
    reply(Out, empty(400));
  serveWatches();
}

Json::Value PlatformStoreStandIn::toJson(const std::string &Key,
                                         const Item &Value) const {
  Json::Value Result;
  Result["key"] = Key;
  Result["value"] = store::encodeBase64(Value.Value);
  Result["revision"] = Json::Int64(Value.Revision);
  Result["created_revision"] = Json::Int64(Value.Created);
  Result["lease_id"] = Json::Int64(Value.Lease);
  return Result;
}

http::ServerAnswer PlatformStoreStandIn::readKey(const std::string &Key) const {
  const auto Found = Current.Items.find(Key);
  if (Found == Current.Items.end())
    return empty(404);
  Json::Value Body = toJson(Key, Found->second);
  Body["at"] = Json::Int64(Current.Revision);
  return answer(200, Body);
}

http::ServerAnswer
PlatformStoreStandIn::readRange(const std::string &Prefix,
                                const std::string &After) const {
  Json::Value Body;
  Body["items"] = Json::arrayValue;
  Body["has_more"] = false;
  Body["at"] = Json::Int64(Current.Revision);
  for (const auto &[Key, Value] : Current.Items) {
    if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After))
      continue;
    if (Body["items"].size() == PageItems) {
      Body["has_more"] = true;
      break;
    }
    Body["items"].append(toJson(Key, Value));
  }
  return answer(200, Body);
}

http::ServerAnswer PlatformStoreStandIn::transact(const std::string &Text) {
  const Json::Value Body = parse(Text);
  Json::Value Mismatches(Json::arrayValue);
  bool Matches = true;
  for (const Json::Value &Row : Body["expected_revision"]) {
    const std::string Key = Row["key"].asString();
    const auto Found = Current.Items.find(Key);
    const int64_t Actual =
        Found == Current.Items.end() ? 0 : Found->second.Revision;
    Matches = Matches && Actual == Row["revision"].asInt64();
    if (Found != Current.Items.end())
      Mismatches.append(toJson(Key, Found->second));
  }
  if (!Matches) {
    Json::Value Refusal;
    Refusal["items"] = Mismatches;
    return answer(412, Refusal);
  }
  for (const Json::Value &Row : Body["write"])
    if (Row["lease_id"].asInt64() != 0 &&
        Current.Leases.count(Row["lease_id"].asInt64()) == 0)
      return empty(404);
  for (const Json::Value &Row : Body["write"])
    write(Row["key"].asString(), store::decodeBase64(Row["value"].asString()),
          Row["lease_id"].asInt64());
  for (const Json::Value &Key : Body["remove"])
    erase(Key.asString());
  Json::Value Done;
  Done["revision"] = Json::Int64(Current.Revision);
  return answer(200, Done);
}

http::ServerAnswer PlatformStoreStandIn::grant(const std::string &Text) {
  const int64_t Ttl = parse(Text)["ttl_ms"].asInt64();
  const int64_t Id = Current.NextLease++;
  Current.Leases[Id] = {Ttl, nowMs() + Ttl};
  Json::Value Body;
  Body["lease_id"] = Json::Int64(Id);
  Body["ttl_ms"] = Json::Int64(Ttl);
  return answer(200, Body);
}

http::ServerAnswer PlatformStoreStandIn::keep(int64_t Id) {
  const auto Found = Current.Leases.find(Id);
  if (Found == Current.Leases.end())
    return empty(404);
  Found->second.EndsAtMs = nowMs() + Found->second.TtlMs;
  Json::Value Body;
  Body["ttl_ms"] = Json::Int64(Found->second.TtlMs);
  return answer(200, Body);
}

http::ServerAnswer PlatformStoreStandIn::end(int64_t Id) {
  if (Current.Leases.count(Id) == 0)
    return empty(404);
  endLease(Id);
  return empty(200);
}

void PlatformStoreStandIn::write(const std::string &Key,
                                 const std::string &Value, int64_t LeaseId) {
  Item &Stored = Current.Items[Key];
  Stored.Value = Value;
  Stored.Revision = ++Current.Revision;
  Stored.Lease = LeaseId;
  if (Stored.Created == 0)
    Stored.Created = Current.Revision;
  Current.History.push_back({Key, Current.Revision, false, Stored});
}

void PlatformStoreStandIn::erase(const std::string &Key) {
  if (Current.Items.erase(Key) != 0)
    Current.History.push_back({Key, ++Current.Revision, true, {}});
}

void PlatformStoreStandIn::endLease(int64_t Id) {
  Current.Leases.erase(Id);
  std::vector<std::string> Gone;
  for (const auto &[Key, Value] : Current.Items)
    if (Value.Lease == Id)
      Gone.push_back(Key);
  for (const std::string &Key : Gone)
    erase(Key);
}

// Answers a watch that has events or is over. Returns whether it did.
bool PlatformStoreStandIn::answerWatch(const Watcher &Waiting) {
  if (Waiting.After < Current.Compacted || Waiting.After > Current.Revision) {
    reply(Waiting.Out, empty(410));
    return true;
  }
  const bool IsOver = nowMs() >= Waiting.EndsAtMs;
  const auto Newer = std::upper_bound(
      Current.History.begin(), Current.History.end(), Waiting.After,
      [](int64_t After, const Event &Each) { return After < Each.Revision; });
  if (Newer == Current.History.end() && !IsOver)
    return false; // most watches, at each request of a large fleet
  Json::Value Body;
  Body["events"] = Json::arrayValue;
  Body["at"] = Json::Int64(Current.Revision);
  for (const Event &Each : std::span(Newer, Current.History.end())) {
    if (!Each.Key.starts_with(Waiting.Prefix))
      continue;
    Json::Value Entry;
    if (Each.Deleted) {
      Entry["key"] = Each.Key;
      Entry["revision"] = Json::Int64(Each.Revision);
      Entry["deleted"] = true;
    } else {
      Entry = toJson(Each.Key, Each.Written);
    }
    Body["events"].append(Entry);
  }
  if (Body["events"].empty() && !IsOver)
    return false;
  if (HeldPrefix == Waiting.Prefix && !Body["events"].empty()) {
    HeldPrefix.reset();
    HeldAnswers.emplace_back(Waiting.Out, answer(200, Body));
    return true;
  }
  reply(Waiting.Out, answer(200, Body));
  return true;
}

void PlatformStoreStandIn::serveWatches() {
  if (Fault != StoreFault::None && Fault != StoreFault::LostAnswer)
    return;
  std::erase_if(Watchers, [&](const Watcher &Waiting) {
    return Waiting.Out->isClosed() || answerWatch(Waiting);
  });
}

void PlatformStoreStandIn::tick() {
  std::vector<int64_t> Ended;
  for (const auto &[Id, Value] : Current.Leases)
    if (nowMs() >= Value.EndsAtMs)
      Ended.push_back(Id);
  for (const int64_t Id : Ended)
    endLease(Id);
  serveWatches();
}

} // namespace burdockstream::testing
