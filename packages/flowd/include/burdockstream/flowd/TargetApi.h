// The HTTP API between a target and the agent on the same VM, as typed data.
// The platform supplies the parser of the requests.
#ifndef BURDOCKSTREAM_FLOWD_TARGETAPI_H
#define BURDOCKSTREAM_FLOWD_TARGETAPI_H

#include "burdockstream/flows/Heartbeat.h"
#include "burdockstream/http/HttpServer.h"

#include <cstdint>
#include <functional>
#include <string>

namespace burdockstream::flowd {

enum class TargetRequestKind : uint8_t { Unknown, Heartbeat, Deregister };

struct TargetRequest {
  TargetRequestKind Kind = TargetRequestKind::Unknown;
  // For a deregistration, only TargetId and StartedAtMs are set.
  flows::Heartbeat Heartbeat;
  std::string Problem; // why the request is invalid; empty if it is valid
};

struct TargetApi {
  std::function<TargetRequest(const http::ServerRequest &)> Parse;
  std::string HealthPath; // of the target's health check
};

} // namespace burdockstream::flowd

#endif
