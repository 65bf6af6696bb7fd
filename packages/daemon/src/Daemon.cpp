#include "Daemon.h"

#include "Clock.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/base/NameTable.h"

#include <array>
#include <memory>
#include <sodium.h>
#include <utility>

namespace burdockstream::daemon {

using messages::MemberState;

namespace {

constexpr base::NameTable<MemberState, 6> StateNames({{
    {MemberState::Starting, "starting"},
    {MemberState::Ready, "ready"},
    {MemberState::Draining, "draining"},
    {MemberState::Stopped, "stopped"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Dead, "dead"},
}});

std::string teamOfToken(const settings::DaemonSettings &Settings,
                        const std::string &Token) {
  std::array<uint8_t, crypto_hash_sha256_BYTES> Digest{};
  crypto_hash_sha256(Digest.data(),
                     reinterpret_cast<const uint8_t *>(Token.data()),
                     Token.size());
  for (const settings::Team &Team : Settings.Teams)
    if (sodium_memcmp(Digest.data(), Team.TokenDigest.data(), Digest.size()) ==
        0)
      return Team.Name;
  return {};
}

} // namespace

base::DaemonId newDaemonId(base::RandomSource &Random) {
  base::DaemonId Id;
  while (Id.Value == 0)
    Id.Value = Random();
  return Id;
}

std::vector<admin::SigningKey>
controlKeys(const settings::DaemonSettings &Settings) {
  std::vector<admin::SigningKey> Keys;
  for (const auto &Key : Settings.ControlKeys) {
    const admin::SigningKey Converted{
        std::to_string(Key.Id),
        std::string(Key.Bytes.begin(), Key.Bytes.end())};
    Keys.insert(Key.Signs ? Keys.begin() : Keys.end(), Converted);
  }
  return Keys;
}

admin::RpcServerHooks adminHooks(const settings::DaemonSettings &Settings,
                                 const base::Metrics &Registry,
                                 std::function<bool()> IsReady) {
  admin::RpcServerHooks Hooks;
  Hooks.TeamOfToken = [&Settings](const std::string &Token) {
    return teamOfToken(Settings, Token);
  };
  Hooks.VerifySignature =
      [Keys = controlKeys(Settings)](const std::string &Signature,
                                     const std::string &Body) {
        return admin::verifyRequest(Keys, readClocks().Wall, Signature, Body);
      };
  Hooks.PrometheusText = [&Registry] {
    return base::toPrometheus(Registry.snapshot());
  };
  Hooks.IsHealthy = [] { return true; };
  Hooks.IsReady = std::move(IsReady);
  return Hooks;
}

admin::RpcMethod metricsMethod(const base::Metrics &Registry) {
  const auto Compute = [&Registry](const admin::RpcCaller &,
                                   const Json::Value &) {
    const auto Document =
        base::JsonDocument::parse(base::toJson(Registry.snapshot()), "metrics");
    if (Document.has_error())
      return admin::RpcResult(Document.error());
    return admin::RpcResult(Document.value().root());
  };
  return {"metrics", admin::Access::Team, {}, admin::immediate(Compute)};
}

Json::Value toJson(const messages::MemberInfo &Member) {
  Json::Value Value;
  Value["id"] = base::toString(Member.Id);
  Value["role"] =
      Member.Kind == messages::Role::Balancer ? "balancer" : "agent";
  Value["state"] = std::string(StateNames.name(Member.State));
  Value["data"] = base::toString(Member.Data);
  Value["control"] = base::toString(Member.Control);
  Value["failure_domain"] = Member.FailureDomain;
  if (Member.Kind == messages::Role::Agent) {
    Value["slots"] = Member.Slots;
    Value["load_percent"] = Member.LoadPercent;
  }
  return Value;
}

} // namespace burdockstream::daemon
