// JSON-RPC methods that report a balancer's state.
#ifndef BURDOCKSTREAM_DAEMON_BALANCERAPI_H
#define BURDOCKSTREAM_DAEMON_BALANCERAPI_H

#include "burdockstream/admin/RpcMethod.h"
#include "burdockstream/nodes/BalancerNode.h"

#include <vector>

namespace burdockstream::daemon {

// Returns the methods. Node must outlive them. Thread safety: loop thread only.
std::vector<admin::RpcMethod> balancerMethods(const nodes::BalancerNode &Node);

} // namespace burdockstream::daemon

#endif
