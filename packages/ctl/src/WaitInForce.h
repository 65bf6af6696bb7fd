// Waits until a written record is in force at every balancer.
#ifndef BURDOCKSTREAM_CTL_SRC_WAITINFORCE_H
#define BURDOCKSTREAM_CTL_SRC_WAITINFORCE_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/ctl/Run.h"

#include <map>
#include <string>

namespace burdockstream::ctl::detail {

struct InForceResult {
  // The number of balancers in the member list, without dead and stopped ones.
  size_t Balancers = 0;
  // The reason for each balancer that does not have the record yet, by control
  // address.
  std::map<base::SocketAddress, std::string> Missing;
};

// Polls the status of every balancer in the member list until the record of
// Service has Revision or a higher one at each, or until Limit has passed.
// Limit is checked once per poll, so the wait may end later. Fails if no server
// returns the member list within Limit. Thread safety: one thread at a time.
base::Result<InForceResult> waitInForce(const Hooks &Hooks,
                                        const std::string &Service,
                                        base::Revision Revision,
                                        base::Duration Limit);

} // namespace burdockstream::ctl::detail

#endif
