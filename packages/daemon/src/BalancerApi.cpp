#include "BalancerApi.h"

#include "Clock.h"
#include "Daemon.h"

#include <algorithm>

namespace burdockstream::daemon {

using admin::Access;
using admin::ParameterType;
using admin::RpcCaller;
using admin::RpcResult;
using base::ErrorKind;
using base::makeError;

namespace {

// Describes an address that the records of several services claim: the service
// that has it and those whose claim is refused.
Json::Value describeContestedAddress(const records::RecordSet &Records,
                                     base::SocketAddress Address) {
  const records::ServiceConfig &Served = *Records.findByAddress(Address);
  Json::Value Conflict;
  Conflict["address"] = base::toString(Address);
  Conflict["serves"] = Served.Service;
  Conflict["refused"] = Json::arrayValue;
  for (const records::ServiceConfig *Other :
       Records.servicesInConflictWith(Served))
    Conflict["refused"].append(Other->Service);
  return Conflict;
}

Json::Value statusOf(const nodes::BalancerNode &Node) {
  Json::Value Status = toJson(Node.membership().self());
  Status["ready"] = Node.isReady(readClocks());
  Status["revisions"] = Json::objectValue;
  for (const auto &[Service, Record] : Node.records().all())
    Status["revisions"][Service] = Json::Int64(Record.Config.StoreRevision);
  Status["balancers"] = Json::arrayValue;
  Node.membership().members().forEach([&](const messages::MemberInfo &Member) {
    if (Member.Kind == messages::Role::Balancer)
      Status["balancers"].append(toJson(Member));
  });
  Status["contested_addresses"] = Json::arrayValue;
  for (const base::SocketAddress Address : Node.records().contestedAddresses())
    Status["contested_addresses"].append(
        describeContestedAddress(Node.records(), Address));
  const routing::RouterCounters &Routes = Node.router().counters();
  Status["routed"] = Json::UInt64(Routes.Routed);
  Status["unknown_service_address"] =
      Json::UInt64(Routes.UnknownServiceAddress);
  Status["service_without_endpoints"] =
      Json::UInt64(Routes.ServiceWithoutEndpoints);
  return Status;
}

RpcResult endpointsOf(const nodes::BalancerNode &Node,
                      const Json::Value &Parameters) {
  const std::string Service = Parameters["service"].asString();
  const base::ServiceId Id = base::serviceIdOf(Service);
  const routing::BucketTable *Table = Node.router().table(Id);
  if (!Table)
    return makeError(ErrorKind::NotFound,
                     "there is no record of " + Service +
                         "; record.list shows all services");
  Json::Value Response;
  Response["service"] = Service;
  Response["endpoints"] = Json::arrayValue;
  for (const messages::MemberInfo &Member :
       Node.membership().members().ofService(Id)) {
    Json::Value Entry = toJson(Member);
    Entry["buckets"] = Json::UInt64(Table->bucketCountOf(Member.Id));
    Response["endpoints"].append(Entry);
  }
  return Response;
}

} // namespace

std::vector<admin::RpcMethod> balancerMethods(const nodes::BalancerNode &Node) {
  const auto Status = [&Node](const RpcCaller &, const Json::Value &) {
    return RpcResult(statusOf(Node));
  };
  const auto Endpoints = [&Node](const RpcCaller &,
                                 const Json::Value &Parameters) {
    return endpointsOf(Node, Parameters);
  };
  return {{"status", Access::Team, {}, admin::immediate(Status)},
          {"endpoints",
           Access::Team,
           {{"service", ParameterType::String}},
           admin::immediate(Endpoints)}};
}

} // namespace burdockstream::daemon
