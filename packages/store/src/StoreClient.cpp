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

RangeReply toRangeReply(const Json::Value &Response) {
  RangeReply Reply;
  Reply.StoreRevision = etcd::toInteger(Response["header"]["revision"]);
  for (const Json::Value &Entry : Response["kvs"])
    Reply.Values.push_back(etcd::toKeyValue(Entry));
  return Reply;
}

PutReply toPutReply(const Json::Value &Response) {
  PutReply Reply;
  Reply.Written = Response["succeeded"].asBool();
  Reply.Revision = etcd::toInteger(Response["header"]["revision"]);
  const Json::Value &Values = Response["responses"][0]["response_range"]["kvs"];
  if (!Reply.Written && Values.isArray() && !Values.empty())
    Reply.Current = etcd::toKeyValue(Values[0]);
  return Reply;
}

CasReply toCasReply(const Json::Value &Response,
                    const std::string &RequestedValue) {
  const PutReply Written = toPutReply(Response);
  CasReply Reply{Written.Written, Written.Revision, Written.Current};
  if (!Reply.Current)
    return Reply;
  // Each value contains a nonce of its writer, so an equal value can only come
  // from an earlier attempt of the same write whose response was lost.
  if (Reply.Current->Value == RequestedValue) {
    Reply.Succeeded = true;
    Reply.StoreRevision = Reply.Current->ModRevision;
  }
  return Reply;
}

Result<LeaseReply> toLeaseReply(const Json::Value &Response) {
  const LeaseReply Reply{
      etcd::toInteger(Response["ID"]),
      std::chrono::seconds(etcd::toInteger(Response["TTL"]))};
  if (Reply.Ttl.count() <= 0)
    return makeError(ErrorKind::NotFound,
                     "the lease has expired; request a new one");
  return Reply;
}

void deliverEvents(const Json::Value &Response, const WatchCallback &OnEvent) {
  for (const Json::Value &Event : Response["result"]["events"])
    OnEvent(WatchEvent{Event["type"].asString() == "DELETE",
                       etcd::toKeyValue(Event["kv"])});
}

// A watch that receives its events over one streamed response.
class StreamWatch : public Watch {
public:
  explicit StreamWatch(std::unique_ptr<http::HttpStream> InitStream)
      : Stream(std::move(InitStream)) {}

  // An open stream does not show that its events have arrived.
  void catchUp(std::function<void()>) override {}

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
  http::HttpRequest Request{url(Path), base::compactJson(Body), {}, Timeout};
  Request.StallTimeout = Timeout;
  Client.postJson(Request, [this, Done = std::move(Callback)](
                               Result<Json::Value> Response) {
    if (Response.has_error())
      countFailure();
    Done(std::move(Response));
  });
}

void StoreClient::range(const Json::Value &Body, RangeCallback Callback) {
  ++Counters.Reads;
  call("/v3/kv/range", Body,
       [Done = std::move(Callback)](Result<Json::Value> Response) {
         if (Response.has_error())
           Done(Response.error());
         else
           Done(toRangeReply(Response.value()));
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
        Requested = Request.Value](Result<Json::Value> Response) {
         if (Response.has_error())
           Done(Response.error());
         else
           Done(toCasReply(Response.value(), Requested));
       });
}

void StoreClient::put(const PutRequest &Request, PutCallback Callback) {
  ++Counters.Writes;
  const auto &Expected = Request.ExpectedRevision;
  const std::string Path = Expected ? "/v3/kv/txn" : "/v3/kv/put";
  const Json::Value Body = Expected ? etcd::casBody({Request.Key, Request.Value,
                                                     *Expected, Request.Lease})
                                    : etcd::putBody(Request);
  call(Path, Body,
       [Done = std::move(Callback),
        Conditional = Expected.has_value()](Result<Json::Value> Response) {
         if (Response.has_error())
           return Done(Response.error());
         PutReply Reply = toPutReply(Response.value());
         Reply.Written = Reply.Written || !Conditional;
         Done(std::move(Reply));
       });
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
       [Done = std::move(Callback)](Result<Json::Value> Response) {
         if (Response.has_error())
           Done(Response.error());
         else
           Done(toLeaseReply(Response.value()));
       });
}

void StoreClient::keepAlive(LeaseId Lease, LeaseCallback Callback) {
  ++Counters.Writes;
  Json::Value Body;
  Body["ID"] = std::to_string(Lease);
  call("/v3/lease/keepalive", Body,
       [Done = std::move(Callback)](Result<Json::Value> Response) {
         if (Response.has_error())
           Done(Response.error());
         else
           Done(toLeaseReply(Response.value()["result"]));
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
      [Deliver = std::move(OnEvent)](const Json::Value &Response) {
        deliverEvents(Response, Deliver);
      },
      [this, End = std::move(OnEnd)](base::Error Reason) {
        countFailure();
        End(std::move(Reason));
      }));
}

} // namespace burdockstream::store
