#include "burdockstream/testing/StoreStandIn.h"

#include "burdockstream/base/JsonText.h"
#include "burdockstream/base/NameTable.h"
#include "burdockstream/store/EtcdJson.h"

#include <json/reader.h>
#include <utility>

namespace burdockstream::testing {

namespace etcd = store::etcd;

namespace {

constexpr guint LeaseCheckIntervalMilliseconds = 100;

// Names of the faults in requests to /control.
constexpr base::NameTable<StoreFault, 4> FaultNames({{
    {StoreFault::None, "none"},
    {StoreFault::Refuse, "refuse"},
    {StoreFault::Disconnect, "away"},
    {StoreFault::DropResponse, "lose_answer"},
}});

Json::Value parseBody(const std::string &Text) {
  Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  Reader->parse(Text.data(), Text.data() + Text.size(), &Value, nullptr);
  return Value;
}

Json::Value toJson(const store::KeyValue &Entry) {
  Json::Value Value;
  Value["key"] = store::encodeBase64(Entry.Key);
  Value["value"] = store::encodeBase64(Entry.Value);
  Value["mod_revision"] = std::to_string(Entry.ModRevision);
  return Value;
}

bool inRange(const std::string &Key, const std::string &Begin,
             const std::string &End) {
  return End.empty() ? Key == Begin : Key >= Begin && Key < End;
}

bool isRead(const std::string &Path) {
  return Path == "/v3/kv/range" || Path == "/v3/watch";
}

} // namespace

struct StoreStandIn::DelayedRequest {
  std::weak_ptr<StoreStandIn *> Store; // empty once the stand-in is destroyed
  http::ServerRequest Request;
  std::shared_ptr<http::Responder> Out;
};

StoreStandIn::StoreStandIn()
    : Server([this](const http::ServerRequest &Request,
                    const std::shared_ptr<http::Responder> &Out) {
        receive(Request, Out);
      }),
      LeaseTimer(
          g_timeout_add(LeaseCheckIntervalMilliseconds, onLeaseTimer, this)) {}

StoreStandIn::~StoreStandIn() { g_source_remove(LeaseTimer); }

base::Result<void> StoreStandIn::listen(base::SocketAddress Address) {
  return Server.listen(Address);
}

void StoreStandIn::setFault(StoreFault NewFault,
                            std::chrono::milliseconds NewDelay) {
  Fault = NewFault;
  Delay = NewDelay;
  if (Fault == StoreFault::Refuse || Fault == StoreFault::Disconnect)
    closeWatches();
}

void StoreStandIn::receive(const http::ServerRequest &Request,
                           const std::shared_ptr<http::Responder> &Out) {
  if (Request.Path == "/control") {
    control(parseBody(Request.Body), Out);
    return;
  }
  if (Delay.count() == 0) {
    process(Request, Out);
    return;
  }
  g_timeout_add(static_cast<guint>(Delay.count()), onDelayedRequest,
                new DelayedRequest{SelfReference, Request, Out});
}

gboolean StoreStandIn::onDelayedRequest(gpointer Data) {
  const std::unique_ptr<DelayedRequest> Delayed(
      static_cast<DelayedRequest *>(Data));
  if (const auto Store = Delayed->Store.lock())
    (*Store)->process(Delayed->Request, Delayed->Out);
  return G_SOURCE_REMOVE;
}

void StoreStandIn::process(const http::ServerRequest &Request,
                           const std::shared_ptr<http::Responder> &Out) {
  ++(isRead(Request.Path) ? ReadCount : WriteCount);
  if (Fault == StoreFault::Refuse) {
    Out->send({503, "text/plain", "the store is unavailable"});
    return;
  }
  if (Fault == StoreFault::Disconnect) {
    Out->abort();
    return;
  }
  const Json::Value Body = parseBody(Request.Body);
  if (Request.Path == "/v3/watch") {
    openWatch(Body, Out);
    return;
  }
  const Json::Value Answer = execute(Request.Path, Body);
  if (Fault == StoreFault::DropResponse)
    Out->abort();
  else if (Answer.isNull())
    Out->send({404, "text/plain", "no such path"});
  else
    Out->send({200, "application/json", base::compactJson(Answer)});
}

void StoreStandIn::control(const Json::Value &Body,
                           const std::shared_ptr<http::Responder> &Out) {
  if (Body.isMember("fault")) {
    const auto NewFault = FaultNames.value(Body["fault"].asString());
    if (!NewFault) {
      Out->send({400, "text/plain",
                 "unknown fault; use none, refuse, away or lose_answer"});
      return;
    }
    setFault(*NewFault, std::chrono::milliseconds(Body["delay_ms"].asInt()));
  }
  Json::Value Counters;
  Counters["reads"] = Json::UInt64(ReadCount);
  Counters["writes"] = Json::UInt64(WriteCount);
  Counters["watches"] = Json::UInt64(Watchers.size());
  Counters["revision"] = Json::Int64(CurrentRevision);
  Out->send({200, "application/json", base::compactJson(Counters)});
}

Json::Value StoreStandIn::execute(const std::string &Path,
                                  const Json::Value &Body) {
  if (Path == "/v3/kv/range")
    return range(Body);
  if (Path == "/v3/kv/put")
    return put(Body);
  if (Path == "/v3/kv/txn")
    return transaction(Body);
  if (Path == "/v3/lease/grant")
    return grantLease(Body);
  if (Path == "/v3/lease/keepalive")
    return keepAlive(Body);
  return Json::nullValue;
}

Json::Value StoreStandIn::header() const {
  Json::Value Header;
  Header["revision"] = std::to_string(CurrentRevision);
  return Header;
}

Json::Value StoreStandIn::range(const Json::Value &Body) const {
  const std::string Begin = store::decodeBase64(Body["key"].asString());
  const std::string End = store::decodeBase64(Body["range_end"].asString());
  Json::Value Answer;
  Answer["header"] = header();
  Answer["kvs"] = Json::arrayValue;
  for (const auto &[Key, StoredEntry] : Entries)
    if (inRange(Key, Begin, End))
      Answer["kvs"].append(
          toJson({Key, StoredEntry.Value, StoredEntry.ModRevision}));
  Answer["count"] = std::to_string(Answer["kvs"].size());
  return Answer;
}

Json::Value StoreStandIn::put(const Json::Value &Body) {
  const std::string Key = store::decodeBase64(Body["key"].asString());
  Entry &StoredEntry = Entries[Key];
  StoredEntry.Value = store::decodeBase64(Body["value"].asString());
  StoredEntry.ModRevision = ++CurrentRevision;
  StoredEntry.Lease = etcd::toInteger(Body["lease"]);
  recordChange({false, {Key, StoredEntry.Value, StoredEntry.ModRevision}});
  Json::Value Answer;
  Answer["header"] = header();
  return Answer;
}

bool StoreStandIn::matches(const Json::Value &Compare) const {
  const auto Found =
      Entries.find(store::decodeBase64(Compare["key"].asString()));
  const base::Revision Actual =
      Found == Entries.end() ? 0 : Found->second.ModRevision;
  return Compare["target"].asString() == "MOD" &&
         Compare["result"].asString() == "EQUAL" &&
         Actual == etcd::toInteger(Compare["mod_revision"]);
}

Json::Value StoreStandIn::transaction(const Json::Value &Body) {
  bool Succeeded = true;
  for (const Json::Value &Compare : Body["compare"])
    Succeeded = Succeeded && matches(Compare);
  Json::Value Answer;
  Answer["succeeded"] = Succeeded;
  Answer["responses"] = Json::arrayValue;
  for (const Json::Value &Operation : Body[Succeeded ? "success" : "failure"]) {
    Json::Value Response;
    if (Operation.isMember("request_put"))
      Response["response_put"] = put(Operation["request_put"]);
    else
      Response["response_range"] = range(Operation["request_range"]);
    Answer["responses"].append(Response);
  }
  Answer["header"] = header();
  return Answer;
}

Json::Value StoreStandIn::grantLease(const Json::Value &Body) {
  const store::LeaseId Id = NextLease++;
  const gint64 Ttl = etcd::toInteger(Body["TTL"]);
  Leases[Id] = Lease{Ttl, g_get_monotonic_time() + Ttl * G_USEC_PER_SEC};
  Json::Value Answer;
  Answer["header"] = header();
  Answer["ID"] = std::to_string(Id);
  Answer["TTL"] = std::to_string(Ttl);
  return Answer;
}

Json::Value StoreStandIn::keepAlive(const Json::Value &Body) {
  Json::Value Answer;
  Json::Value &Reply = Answer["result"];
  Reply["header"] = header();
  Reply["ID"] = Body["ID"];
  Reply["TTL"] = "0";
  const auto Found = Leases.find(etcd::toInteger(Body["ID"]));
  if (Found == Leases.end())
    return Answer;
  Lease &Extended = Found->second;
  Extended.ExpiresAt =
      g_get_monotonic_time() + Extended.TtlSeconds * G_USEC_PER_SEC;
  Reply["TTL"] = std::to_string(Extended.TtlSeconds);
  return Answer;
}

} // namespace burdockstream::testing
