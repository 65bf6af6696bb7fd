// The HTTP calls of a target to the agent beside it, as typed data. The reader
// that knows their form is a hook.
#ifndef BURDOCKSTREAM_FLOWD_TARGETCALLS_H
#define BURDOCKSTREAM_FLOWD_TARGETCALLS_H

#include "burdockstream/flows/Heartbeat.h"
#include "burdockstream/http/HttpServer.h"

#include <cstdint>
#include <functional>
#include <string>

namespace burdockstream::flowd {

enum class TargetCallKind : uint8_t { Unknown, Heartbeat, Deregister };

struct TargetCall {
  TargetCallKind Kind = TargetCallKind::Unknown;
  flows::Heartbeat Beat; // of a deregistration: id and start only
  std::string Problem;   // why it cannot be used; empty if it can
};

struct TargetCalls {
  std::function<TargetCall(const http::ServerRequest &)> Read;
  std::string HealthPath; // of the target's health check
};

} // namespace burdockstream::flowd

#endif
