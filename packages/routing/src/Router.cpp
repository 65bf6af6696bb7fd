#include "burdockstream/routing/Router.h"

#include "burdockstream/records/AddressClaim.h"
#include "burdockstream/routing/EndpointWeights.h"
#include "burdockstream/routing/FlowHash.h"

namespace burdockstream::routing {

std::optional<Route> Router::route(base::SocketAddress ServiceAddress,
                                   base::SocketAddress Caller) {
  const auto It = ServiceByAddress.find(ServiceAddress);
  if (It == ServiceByAddress.end()) {
    ++Counters.UnknownServiceAddress;
    return std::nullopt;
  }
  const ServiceState &State = *It->second;
  const base::ServiceId Service = State.Config->Id;
  const base::BucketIndex Bucket =
      flowBucket(Caller, Service, Seed, State.Table.bucketCount());
  const TableMember *Owner = State.Table.owner(Bucket);
  if (!Owner) {
    ++Counters.ServiceWithoutEndpoints;
    return std::nullopt;
  }
  ++Counters.Routed;
  return Route{Service, Bucket, Owner->Id, Owner->DataAddress};
}

bool Router::setConfig(const records::ServiceConfig &Config) {
  std::unique_ptr<ServiceState> &State = Services[Config.Id];
  if (!State)
    State = std::make_unique<ServiceState>();
  std::optional<base::SocketAddress> OldAddress;
  if (State->Config) {
    if (Config.StoreRevision < State->Config->StoreRevision) {
      ++Counters.StaleConfigs;
      return false;
    }
    OldAddress = State->Config->Address;
  }
  State->Config = Config;
  const bool Changed = rebuildTable(*State);
  remapAddress(Config.Address);
  if (OldAddress && *OldAddress != Config.Address)
    remapAddress(*OldAddress);
  return Changed;
}

bool Router::setMembers(base::ServiceId Service,
                        std::vector<messages::MemberInfo> Members) {
  std::unique_ptr<ServiceState> &State = Services[Service];
  if (!State)
    State = std::make_unique<ServiceState>();
  State->Members = std::move(Members);
  return rebuildTable(*State);
}

const BucketTable *Router::table(base::ServiceId Service) const {
  const auto It = Services.find(Service);
  if (It == Services.end() || !It->second->Config ||
      It->second->Config->Retired)
    return nullptr;
  return &It->second->Table;
}

const records::ServiceConfig *Router::config(base::ServiceId Service) const {
  return table(Service) ? &*Services.at(Service)->Config : nullptr;
}

bool Router::rebuildTable(ServiceState &State) {
  if (!State.Config || State.Config->Retired)
    return false;
  std::vector<TableMember> Input = tableMembers(*State.Config, State.Members);
  if (Input == State.TableInput &&
      State.Table.bucketCount() == State.Config->Buckets)
    return false;
  BucketTable Table =
      BucketTable::build(State.Config->Id, State.Config->Buckets, Input);
  ++Counters.TableBuilds;
  const bool Changed = !(Table == State.Table);
  State.TableInput = std::move(Input);
  State.Table = std::move(Table);
  return Changed;
}

void Router::remapAddress(base::SocketAddress Address) {
  const ServiceState *EarliestClaim = nullptr;
  for (const auto &[Id, State] : Services) {
    if (!State->Config || State->Config->Retired ||
        State->Config->Address != Address)
      continue;
    if (EarliestClaim)
      ++Counters.AddressConflicts;
    if (!EarliestClaim ||
        records::hasEarlierClaim(*State->Config, *EarliestClaim->Config))
      EarliestClaim = State.get();
  }
  if (EarliestClaim)
    ServiceByAddress[Address] = EarliestClaim;
  else
    ServiceByAddress.erase(Address);
}

} // namespace burdockstream::routing
