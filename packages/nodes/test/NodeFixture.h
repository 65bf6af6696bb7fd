// Helpers that build clocks, members and balancer lists for the tests of nodes.
#ifndef BURDOCKSTREAM_NODES_TEST_NODEFIXTURE_H
#define BURDOCKSTREAM_NODES_TEST_NODEFIXTURE_H

#include "burdockstream/nodes/AgentNode.h"
#include "burdockstream/nodes/BalancerNode.h"

#include <chrono>
#include <vector>

namespace burdockstream::nodes {

inline constexpr base::SocketAddress BalancerData{0x7f000101, 7000};

inline base::Now at(int64_t Milliseconds) {
  return {base::TimePoint(std::chrono::milliseconds(Milliseconds)),
          base::WallTime{1'000'000 + Milliseconds}};
}

inline messages::MemberInfo member(messages::Role Kind, uint64_t Id,
                                   base::SocketAddress Data) {
  messages::MemberInfo Info;
  Info.Id = {Id};
  Info.Version = 1;
  Info.Kind = Kind;
  Info.State = messages::MemberState::Ready;
  Info.Data = Data;
  Info.Control = {Data.Ip, 7001};
  Info.FailureDomain = "bc-kam";
  return Info;
}

inline std::vector<membership::BalancerLocation> configuredBalancers() {
  return {{BalancerData, "bc-kam"}};
}

} // namespace burdockstream::nodes

#endif
