#include "burdockstream/ownership/Arbiter.h"

#include <utility>

namespace burdockstream::ownership {
namespace {

constexpr base::Duration EvictionInterval = std::chrono::seconds(1);

// Limits the memory to about 3 MB. At the design target an arbiter serves about
// 40 agents. Beyond the limit it refuses further agents, which is always safe.
constexpr size_t MaxAgents = 65'536;
constexpr size_t MaxServices = 4'096;

} // namespace

Arbiter::Arbiter(base::SocketAddress InitSelf,
                 std::vector<base::SocketAddress> InitBalancerAddresses,
                 base::TimePoint Start)
    : Self(InitSelf), BalancerAddresses(std::move(InitBalancerAddresses)),
      AnswersFrom(Start + ArbiterRestartDelay), NextEviction(Start) {}

bool Arbiter::shouldAnswer(base::ServiceId Service, uint64_t ListHash,
                           base::Now Now) {
  if (Now.Monotonic < AnswersFrom)
    return false;
  auto It = ListHashes.find(Service);
  if (It == ListHashes.end()) {
    if (ListHashes.size() >= MaxServices)
      ListHashes.clear();
    const ArbiterList List = selectArbiters(BalancerAddresses, Service);
    It = ListHashes.emplace(Service, List.indexOf(Self) ? List.Hash : 0).first;
  }
  return It->second != 0 && It->second == ListHash;
}

void Arbiter::evictExpired(base::Now Now) {
  if (Now.Monotonic < NextEviction)
    return;
  NextEviction = Now.Monotonic + EvictionInterval;
  std::erase_if(Agents, [&](const auto &Item) {
    return Item.second.GrantedUntil <= Now.Monotonic &&
           Item.second.FencedUntil <= Now.Monotonic;
  });
}

Arbiter::AgentEntry *Arbiter::entryFor(base::DaemonId Agent, base::Now Now) {
  evictExpired(Now);
  const auto It = Agents.find(Agent);
  if (It != Agents.end())
    return &It->second;
  if (Agents.size() >= MaxAgents)
    return nullptr;
  return &Agents[Agent];
}

std::optional<messages::LeaseGrant>
Arbiter::handle(const messages::LeaseRequest &Request, base::Now Now) {
  if (!shouldAnswer(Request.Service, Request.ArbiterListHash, Now))
    return std::nullopt;
  messages::LeaseGrant Grant{Request.Agent, Self, Request.Sequence, false};
  AgentEntry *Entry = entryFor(Request.Agent, Now);
  if (Entry && Entry->FencedUntil <= Now.Monotonic) {
    Entry->GrantedUntil = Now.Monotonic + GrantRetention;
    Grant.Granted = true;
  }
  return Grant;
}

std::optional<messages::FenceConsent>
Arbiter::handle(const messages::FenceRequest &Request, base::Now Now) {
  if (!shouldAnswer(Request.Service, Request.ArbiterListHash, Now))
    return std::nullopt;
  messages::FenceConsent Consent{Request.Target, Self, Request.Sequence, false};
  AgentEntry *Entry = entryFor(Request.Target, Now);
  if (Entry && Entry->GrantedUntil <= Now.Monotonic) {
    Entry->FencedUntil = Now.Monotonic + FenceRetention;
    Consent.Consented = true;
  }
  return Consent;
}

} // namespace burdockstream::ownership
