// What the daemon of flow services needs from the platform that it runs on:
// formats and calls, no decisions.
#ifndef BURDOCKSTREAM_FLOWD_FLOWENVIRONMENT_H
#define BURDOCKSTREAM_FLOWD_FLOWENVIRONMENT_H

#include "burdockstream/base/Error.h"
#include "burdockstream/flowd/TargetCalls.h"
#include "burdockstream/flows/Packet.h"
#include "burdockstream/flows/RouteTable.h"
#include "burdockstream/store/Store.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace burdockstream::flowd {

struct FlowEnvironment {
  flows::PacketCodec Codec;
  TargetCalls Calls;
  std::function<std::unique_ptr<store::Store>(base::SocketAddress)> OpenStore;
  std::string ReadyPath; // of the fabric's check of a balancer
  std::string RoutesKey; // holds the operators' newest configuration
  std::function<base::Result<flows::RouteTable>(std::string_view)> ReadRoutes;
};

} // namespace burdockstream::flowd

#endif
