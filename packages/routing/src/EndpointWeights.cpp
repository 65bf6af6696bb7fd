#include "burdockstream/routing/EndpointWeights.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace burdockstream::routing {

namespace {

using messages::MemberInfo;
using messages::MemberState;

bool isServing(const MemberInfo &Member) {
  return Member.State == MemberState::Ready ||
         Member.State == MemberState::Suspect;
}

// Returns the share that Config lists for the endpoint itself, if any.
std::optional<uint32_t> endpointShare(const records::ServiceConfig &Config,
                                      base::SocketAddress Address) {
  for (const records::EndpointShare &Share : Config.EndpointShares)
    if (Share.Address == Address)
      return Share.Weight;
  return std::nullopt;
}

uint32_t domainShare(const records::ServiceConfig &Config,
                     std::string_view Domain) {
  for (const records::DomainShare &Share : Config.DomainShares)
    if (Share.FailureDomain == Domain)
      return Share.Weight;
  return records::DefaultWeight;
}

// Returns the endpoints of Config's service that Config does not drain.
std::vector<const MemberInfo *>
undrainedEndpoints(const records::ServiceConfig &Config,
                   const std::vector<MemberInfo> &Members) {
  std::vector<const MemberInfo *> Result;
  for (const MemberInfo &Member : Members) {
    const auto &Drained = Config.DrainedEndpoints;
    if (Member.Kind == messages::Role::Agent && Member.Service == Config.Id &&
        std::find(Drained.begin(), Drained.end(), Member.Data) == Drained.end())
      Result.push_back(&Member);
  }
  return Result;
}

// The weights in the result are the configured shares, zero included.
std::vector<TableMember>
withConfiguredWeights(const records::ServiceConfig &Config,
                      const std::vector<const MemberInfo *> &Serving) {
  std::vector<TableMember> Result;
  for (const MemberInfo *Member : Serving) {
    const uint32_t Weight =
        endpointShare(Config, Member->Data)
            .value_or(domainShare(Config, Member->FailureDomain));
    Result.push_back({Member->Id, Member->Data, Weight});
  }
  return Result;
}

std::vector<TableMember>
withEqualWeights(const std::vector<const MemberInfo *> &Members) {
  std::vector<TableMember> Result;
  Result.reserve(Members.size());
  for (const MemberInfo *Member : Members)
    Result.push_back({Member->Id, Member->Data, 1});
  return Result;
}

// Returns the first group of endpoints that is not empty, in the order that
// tableMembers() documents, or nothing if all are empty.
std::vector<TableMember>
firstNonEmptyGroup(const records::ServiceConfig &Config,
                   const std::vector<MemberInfo> &Members) {
  std::vector<const MemberInfo *> Serving;
  std::vector<const MemberInfo *> Starting;
  for (const MemberInfo *Member : undrainedEndpoints(Config, Members)) {
    if (isServing(*Member))
      Serving.push_back(Member);
    else if (Member->State == MemberState::Starting)
      Starting.push_back(Member);
  }
  if (Serving.empty())
    return withEqualWeights(Starting);
  std::vector<TableMember> Result = withConfiguredWeights(Config, Serving);
  std::erase_if(Result, [](const TableMember &M) { return M.Weight == 0; });
  return Result.empty() ? withEqualWeights(Serving) : Result;
}

} // namespace

std::vector<TableMember> tableMembers(const records::ServiceConfig &Config,
                                      const std::vector<MemberInfo> &Members) {
  std::vector<TableMember> Result = firstNonEmptyGroup(Config, Members);
  std::sort(
      Result.begin(), Result.end(),
      [](const TableMember &A, const TableMember &B) { return A.Id < B.Id; });
  return Result;
}

} // namespace burdockstream::routing
