#include "burdockstream/flows/Evacuations.h"

#include <algorithm>
#include <iterator>

namespace burdockstream::flows {

std::vector<std::string>
Evacuations::setAll(const std::set<std::string> &Domains,
                    base::Revision Revision) {
  if (Revision < ListedAt)
    return {};
  const std::set<std::string> Before = domains();
  const size_t Count = std::min(Domains.size(), MaxEvacuatedDomains);
  Ignored = Domains.size() - Count;
  const auto End = std::next(Domains.begin(), static_cast<ptrdiff_t>(Count));
  Listed = {Domains.begin(), End};
  advance(Revision);
  const std::set<std::string> After = domains();
  std::vector<std::string> Changed;
  std::set_symmetric_difference(Before.begin(), Before.end(), After.begin(),
                                After.end(), std::back_inserter(Changed));
  return Changed;
}

bool Evacuations::apply(const std::string &Domain,
                        const DomainEvacuation &Change) {
  if (Change.Revision < ListedAt)
    return false;
  const bool Before = of(Domain).Evacuated;
  if (!Change.Evacuated)
    Listed.erase(Domain);
  else if (Listed.size() < MaxEvacuatedDomains)
    Listed.insert(Domain);
  else if (Listed.count(Domain) == 0)
    ++Ignored;
  advance(Change.Revision);
  return of(Domain).Evacuated != Before;
}

bool Evacuations::report(const std::string &Domain,
                         const DomainEvacuation &Reported) {
  const DomainEvacuation Before = of(Domain);
  if (Reported.Revision <= Before.Revision ||
      (Reports.size() >= MaxEvacuatedDomains && Reports.count(Domain) == 0))
    return false;
  Reports[Domain] = Reported;
  return Reported.Evacuated != Before.Evacuated;
}

DomainEvacuation Evacuations::of(std::string_view Domain) const {
  const auto Reported = Reports.find(Domain);
  if (Reported != Reports.end())
    return Reported->second;
  return {ListedAt, Listed.find(Domain) != Listed.end()};
}

std::set<std::string> Evacuations::domains() const {
  std::set<std::string> Result(Listed.begin(), Listed.end());
  for (const auto &[Domain, State] : Reports)
    if (State.Evacuated)
      Result.insert(Domain);
    else
      Result.erase(Domain);
  return Result;
}

// The list is now as of Revision; drops the reports that it covers.
void Evacuations::advance(base::Revision Revision) {
  ListedAt = Revision;
  std::erase_if(Reports, [Revision](const auto &Each) {
    return Each.second.Revision <= Revision;
  });
}

} // namespace burdockstream::flows
