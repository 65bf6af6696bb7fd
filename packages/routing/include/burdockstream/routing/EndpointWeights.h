// Selects the endpoints of a service that receive buckets and their weights,
// from the service's configuration record and the membership view.
#ifndef BURDOCKSTREAM_ROUTING_ENDPOINTWEIGHTS_H
#define BURDOCKSTREAM_ROUTING_ENDPOINTWEIGHTS_H

#include "burdockstream/messages/Messages.h"
#include "burdockstream/records/ServiceConfig.h"
#include "burdockstream/routing/BucketTable.h"

#include <vector>

namespace burdockstream::routing {

// Returns the members of the bucket table of Config's service, sorted by id,
// each with a positive weight. Entries of other services and of balancers are
// ignored. The first of these groups that is not empty is used:
//  1. ready and suspect endpoints with a positive share;
//  2. ready and suspect endpoints with share 0, with equal weights: using an
//     endpoint that is configured to be idle is better than dropping the
//     datagrams of every caller;
//  3. starting endpoints, with equal weights: their agents answer `not-run`
//     with a time to retry, whereas a dropped datagram tells the caller
//     nothing.
// If all groups are empty, the result is empty. Drained, draining, stopped and
// dead endpoints are never used, because an endpoint that is leaving must
// receive no new work.
//
// The weight of an endpoint is its own share if Config lists its data address,
// else the share of its failure domain, else DefaultWeight. The share of a
// failure domain is the weight of each of its endpoints, not of the domain as a
// whole, so that equal shares give all endpoints equal weights, however many
// endpoints each domain has. Thread safety: any thread.
std::vector<TableMember>
tableMembers(const records::ServiceConfig &Config,
             const std::vector<messages::MemberInfo> &Members);

} // namespace burdockstream::routing

#endif
