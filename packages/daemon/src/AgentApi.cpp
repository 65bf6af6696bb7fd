#include "AgentApi.h"

#include "Clock.h"
#include "Daemon.h"
#include "burdockstream/base/NameTable.h"
#include "burdockstream/messages/MessageBody.h"

#include <glib.h>
#include <optional>
#include <utility>

namespace burdockstream::daemon {

using admin::Access;
using admin::ParameterType;
using admin::RpcCaller;
using admin::RpcResult;
using base::ErrorKind;
using base::makeError;
using messages::BucketRole;

namespace {

constexpr base::NameTable<BucketRole, 5> RoleNames({{
    {BucketRole::NotOwner, "not_owner"},
    {BucketRole::Pending, "pending"},
    {BucketRole::Provisional, "provisional"},
    {BucketRole::Suspended, "suspended"},
    {BucketRole::Owner, "owner"},
}});

// Decodes a JSON parameter written by encodeForRpc(). Returns nullopt if it
// does not hold a message of type MessageT.
template <typename MessageT>
std::optional<MessageT> decodeFromRpc(const Json::Value &Parameter) {
  const std::string Text = Parameter.asString();
  if (Text.empty())
    return std::nullopt;
  gsize Size = 0;
  guchar *Packed = g_base64_decode(Text.c_str(), &Size);
  auto Body = messages::unpackBody({Packed, Size});
  g_free(Packed);
  if (Body.has_error() || !std::holds_alternative<MessageT>(Body.value()))
    return std::nullopt;
  return std::get<MessageT>(std::move(Body).value());
}

// Creates a method that only other daemons may call and that carries one
// message.
template <typename MessageT>
admin::RpcMethod peerMethod(const std::string &Name,
                            const std::string &Parameter,
                            std::function<void(const MessageT &)> Deliver) {
  const auto Handle = [Parameter, Deliver = std::move(Deliver)](
                          const RpcCaller &, const Json::Value &Parameters) {
    const auto Body = decodeFromRpc<MessageT>(Parameters[Parameter]);
    if (!Body)
      return RpcResult(makeError(
          ErrorKind::Corrupt,
          Parameter + " is not an encoded message of the expected type; both "
                      "daemons must run the same version"));
    Deliver(*Body);
    return RpcResult(Json::Value(Json::objectValue));
  };
  return {Name,
          Access::Peer,
          {{Parameter, ParameterType::String}},
          admin::immediate(Handle)};
}

// Returns the remaining time of the lease, 0 if it has expired. Before the
// first lease End is TimePoint::min(), from which a difference would overflow.
int64_t remainingLeaseMilliseconds(base::TimePoint End, base::TimePoint Now) {
  if (End <= Now)
    return 0;
  return std::chrono::duration_cast<std::chrono::milliseconds>(End - Now)
      .count();
}

Json::Value statusOf(const nodes::AgentNode &Node, const std::string &Service) {
  const base::Now Now = readClocks();
  const requests::LoadView Load = Node.requests().load(Now);
  Json::Value Status = toJson(Node.membership().self());
  Status["service"] = Service;
  Status["ready"] = Node.isReady();
  Status["endpoint_alive"] = Node.requests().endpointAlive();
  Status["clock_offset_ms"] =
      Json::Int64(Node.membership().clockOffsetMilliseconds());
  Status["queued"] = Json::UInt64(Load.Queued);
  Status["running"] = Json::UInt64(Load.Running);
  Status["flows"] = Json::UInt64(Load.Flows);
  Status["request_records"] = Json::UInt64(Load.Records);
  Status["subscriptions"] = Json::UInt64(Load.Subscriptions);
  if (Node.configuration())
    Status["record_revision"] =
        Json::Int64(Node.configuration()->StoreRevision);
  if (Node.ownership())
    Status["lease_ms"] = Json::Int64(remainingLeaseMilliseconds(
        Node.ownership()->leaseEnd(), Now.Monotonic));
  return Status;
}

Json::Value bucketsOf(const nodes::AgentNode &Node) {
  Json::Value Response;
  Response["buckets"] = Json::arrayValue;
  if (!Node.ownership())
    return Response;
  const base::Now Now = readClocks();
  for (base::BucketIndex Bucket = 0; Bucket < Node.configuration()->Buckets;
       ++Bucket) {
    const messages::BucketAuthority Authority =
        Node.ownership()->authority(Bucket, Now);
    Json::Value Entry;
    Entry["bucket"] = Bucket;
    Entry["role"] = std::string(RoleNames.name(Authority.Role));
    Entry["owner"] = base::toString(Authority.Role == BucketRole::NotOwner
                                        ? Authority.Owner
                                        : Node.membership().self().Id);
    Entry["epoch"] = Json::UInt64(Node.ownership()->epoch(Bucket));
    Response["buckets"].append(Entry);
  }
  return Response;
}

} // namespace

std::string encodeForRpc(const messages::Message &Body) {
  const messages::Bytes Packed = messages::packBody(Body);
  gchar *Text = g_base64_encode(Packed.data(), Packed.size());
  std::string Encoded(Text);
  g_free(Text);
  return Encoded;
}

std::vector<admin::RpcMethod>
agentMethods(const nodes::AgentNode &Node,
             const settings::DaemonSettings &Settings, AgentApiHooks Hooks) {
  const auto Status = [&Node, &Settings](const RpcCaller &,
                                         const Json::Value &) {
    return RpcResult(statusOf(Node, Settings.Agent->Service));
  };
  const auto Buckets = [&Node](const RpcCaller &, const Json::Value &) {
    return RpcResult(bucketsOf(Node));
  };
  return {{"status", Access::Team, {}, admin::immediate(Status)},
          {"buckets", Access::Team, {}, admin::immediate(Buckets)},
          peerMethod<messages::BucketTransfer>("bucket.transfer", "transfer",
                                               std::move(Hooks.OnTransfer)),
          peerMethod<messages::BucketTransferAck>(
              "bucket.transferred", "ack", std::move(Hooks.OnTransferAck))};
}

} // namespace burdockstream::daemon
