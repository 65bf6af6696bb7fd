// Platform interface of the flow service daemons: the wire formats, paths and
// store access that depend on the platform. It makes no decisions.
#ifndef BURDOCKSTREAM_FLOWD_FLOWENVIRONMENT_H
#define BURDOCKSTREAM_FLOWD_FLOWENVIRONMENT_H

#include "burdockstream/base/Error.h"
#include "burdockstream/flowd/TargetApi.h"
#include "burdockstream/flows/Packet.h"
#include "burdockstream/flows/RouteTable.h"
#include "burdockstream/store/Store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockstream::flowd {

struct FlowEnvironment {
  flows::PacketCodec Codec;
  TargetApi Api; // HTTP API between a target and its agent
  // Creates a client of the store at the given address.
  std::function<std::unique_ptr<store::Store>(base::SocketAddress)> OpenStore;
  std::string ReadyPath; // of the fabric's readiness check of a balancer
  // Store keys that operators write: all of them start with OperatorPrefix.
  std::string OperatorPrefix;
  std::string RoutesKey; // of the current configuration
  // Returns the failure domain whose evacuation the key orders, or nothing if
  // the key has another purpose. Fails if the domain's name is invalid.
  std::function<base::Result<std::optional<std::string>>(std::string_view Key)>
      ParseEvacuationKey;
  // Parses the text stored under RoutesKey.
  std::function<base::Result<flows::RouteTable>(std::string_view)> ParseRoutes;
};

} // namespace burdockstream::flowd

#endif
