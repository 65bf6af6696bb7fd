// The description of one JSON-RPC method: name, who may call it, parameters and
// handler.
#ifndef BURDOCKSTREAM_ADMIN_RPCMETHOD_H
#define BURDOCKSTREAM_ADMIN_RPCMETHOD_H

#include "burdockstream/base/Error.h"

#include <functional>
#include <json/value.h>
#include <string>
#include <vector>

namespace burdockstream::admin {

enum class Access {
  Anyone, // health checks
  Team,   // the caller holds a team's token
  Peer,   // the request is signed with a key of the daemons
};

enum class ParameterType { String, Integer, Boolean, Object, Array };

// A required parameter. Optional ones are not declared; the handler checks
// them.
struct RpcParameter {
  std::string Name;
  ParameterType Type = ParameterType::String;
};

// Who called, as far as it was proved.
struct RpcCaller {
  std::string Team; // empty: no valid token
  bool IsPeer = false;
};

using RpcResult = base::Result<Json::Value>;
using RpcReply = std::function<void(RpcResult)>;

// A handler calls Reply exactly once, at once or later.
using RpcHandler = std::function<void(
    const RpcCaller &, const Json::Value &Parameters, const RpcReply &Reply)>;

struct RpcMethod {
  std::string Name;
  Access Allowed = Access::Team;
  std::vector<RpcParameter> Parameters;
  RpcHandler Handle;
};

// Wraps a handler that has its result at once. Thread safety: any thread.
inline RpcHandler immediate(
    std::function<RpcResult(const RpcCaller &, const Json::Value &Parameters)>
        Compute) {
  return [Function = std::move(Compute)](
             const RpcCaller &Caller, const Json::Value &Parameters,
             const RpcReply &Reply) { Reply(Function(Caller, Parameters)); };
}

// Returns the JSON-RPC error code of a kind of error. Thread safety: any
// thread.
int errorCode(base::ErrorKind Kind);

} // namespace burdockstream::admin

#endif
