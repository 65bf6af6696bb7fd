#include "burdockstream/store/StoreClient.h"

#include "burdockstream/base/JsonText.h"
#include "burdockstream/store/EtcdJson.h"

#include <glog/logging.h>
#include <utility>

namespace burdockstream::store {

using base::ErrorKind;
using base::makeError;
using base::Result;

namespace {

RangeReply toRangeReply(const Json::Value &Answer) {
  RangeReply Reply;
  Reply.StoreRevision = etcd::toInteger(Answer["header"]["revision"]);
  for (const Json::Value &Entry : Answer["kvs"])
    Reply.Values.push_back(etcd::toKeyValue(Entry));
  return Reply;
}

CasReply toCasReply(const Json::Value &Answer, const std::string &WantedValue) {
  CasReply Reply;
  Reply.Succeeded = Answer["succeeded"].asBool();
  Reply.StoreRevision = etcd::toInteger(Answer["header"]["revision"]);
  if (Reply.Succeeded)
    return Reply;
  const Json::Value &Values = Answer["responses"][0]["response_range"]["kvs"];
  if (!Values.isArray() || Values.empty())
    return Reply;
  Reply.Current = etcd::toKeyValue(Values[0]);
  // Values carry a writer's nonce, so an equal value can only come from an
  // earlier attempt of the same write whose answer was lost.
  if (Reply.Current->Value == WantedValue) {
    Reply.Succeeded = true;
    Reply.StoreRevision = Reply.Current->ModRevision;
  }
  return Reply;
}

Result<LeaseReply> toLeaseReply(const Json::Value &Answer) {
  const LeaseReply Reply{etcd::toInteger(Answer["ID"]),
                         std::chrono::seconds(etcd::toInteger(Answer["TTL"]))};
  if (Reply.Ttl.count() <= 0)
    return makeError(ErrorKind::NotFound,
                     "the lease has expired; request a new one");
  return Reply;
}

void deliverWatchAnswer(const Json::Value &Answer,
                        const WatchCallback &OnEvent) {
  for (const Json::Value &Event : Answer["result"]["events"])
    OnEvent(WatchEvent{Event["type"].asString() == "DELETE",
                       etcd::toKeyValue(Event["kv"])});
}

// A watch whose events come over one stream as they are made.
class StreamWatch : public Watch {
public:
  explicit StreamWatch(std::unique_ptr<http::HttpStream> InitStream)
      : Stream(std::move(InitStream)) {}

  void catchUp(std::function<void()> Done) override { Done(); }

private:
  std::unique_ptr<http::HttpStream> Stream;
};

} // namespace

StoreClient::StoreClient(std::vector<base::SocketAddress> InitEndpoints,
                         base::Duration InitTimeout)
    : Endpoints(std::move(InitEndpoints)), Timeout(InitTimeout) {
  CHECK(!Endpoints.empty());
}

std::string StoreClient::url(const std::string &Path) const {
  return "http://" + base::toString(Endpoints[Selected]) + Path;
}

void StoreClient::countFailure() {
  ++Counters.Failures;
  Selected = (Selected + 1) % Endpoints.size();
}

void StoreClient::call(const std::string &Path, const Json::Value &Body,
                       http::JsonCallback Callback) {
  const http::HttpRequest Request{
      url(Path), base::compactJson(Body), {}, Timeout};
  Client.postJson(
      Request, [this, Done = std::move(Callback)](Result<Json::Value> Answer) {
        if (Answer.has_error())
          countFailure();
        Done(std::move(Answer));
      });
}

void StoreClient::range(const Json::Value &Body, RangeCallback Callback) {
  ++Counters.Reads;
  call("/v3/kv/range", Body,
       [Done = std::move(Callback)](Result<Json::Value> Answer) {
         if (Answer.has_error())
           Done(Answer.error());
         else
           Done(toRangeReply(Answer.value()));
       });
}

void StoreClient::readKey(const std::string &Key, RangeCallback Callback) {
  Json::Value Body;
  Body["key"] = encodeBase64(Key);
  range(Body, std::move(Callback));
}

void StoreClient::readPrefix(const std::string &Prefix,
                             RangeCallback Callback) {
  Json::Value Body;
  Body["key"] = encodeBase64(Prefix);
  Body["range_end"] = encodeBase64(etcd::prefixEnd(Prefix));
  range(Body, std::move(Callback));
}

void StoreClient::compareAndSwap(const CasRequest &Request,
                                 CasCallback Callback) {
  ++Counters.Writes;
  call("/v3/kv/txn", etcd::casBody(Request),
       [Done = std::move(Callback),
        Wanted = Request.Value](Result<Json::Value> Answer) {
         if (Answer.has_error())
           Done(Answer.error());
         else
           Done(toCasReply(Answer.value(), Wanted));
       });
}

void StoreClient::put(const PutRequest &Request, DoneCallback Callback) {
  ++Counters.Writes;
  call("/v3/kv/put", etcd::putBody(Request), toDone(std::move(Callback)));
}

void StoreClient::endLease(LeaseId Lease, DoneCallback Callback) {
  ++Counters.Writes;
  Json::Value Body;
  Body["ID"] = std::to_string(Lease);
  call("/v3/lease/revoke", Body, toDone(std::move(Callback)));
}

void StoreClient::grantLease(std::chrono::seconds Ttl, LeaseCallback Callback) {
  ++Counters.Writes;
  Json::Value Body;
  Body["TTL"] = std::to_string(Ttl.count());
  call("/v3/lease/grant", Body,
       [Done = std::move(Callback)](Result<Json::Value> Answer) {
         if (Answer.has_error())
           Done(Answer.error());
         else
           Done(toLeaseReply(Answer.value()));
       });
}

void StoreClient::keepAlive(LeaseId Lease, LeaseCallback Callback) {
  ++Counters.Writes;
  Json::Value Body;
  Body["ID"] = std::to_string(Lease);
  call("/v3/lease/keepalive", Body,
       [Done = std::move(Callback)](Result<Json::Value> Answer) {
         if (Answer.has_error())
           Done(Answer.error());
         else
           Done(toLeaseReply(Answer.value()["result"]));
       });
}

std::unique_ptr<Watch> StoreClient::watch(const WatchRequest &Request,
                                          WatchCallback OnEvent,
                                          WatchEndCallback OnEnd) {
  ++Counters.Reads;
  Json::Value Create;
  Create["key"] = encodeBase64(Request.Prefix);
  Create["range_end"] = encodeBase64(etcd::prefixEnd(Request.Prefix));
  if (Request.StartRevision > 0)
    Create["start_revision"] = std::to_string(Request.StartRevision);
  Json::Value Body;
  Body["create_request"] = Create;
  return std::make_unique<StreamWatch>(Client.streamJson(
      {url("/v3/watch"), base::compactJson(Body), {}, Timeout},
      [Deliver = std::move(OnEvent)](const Json::Value &Answer) {
        deliverWatchAnswer(Answer, Deliver);
      },
      [this, End = std::move(OnEnd)](base::Error Reason) {
        countFailure();
        End(std::move(Reason));
      }));
}

} // namespace burdockstream::store
