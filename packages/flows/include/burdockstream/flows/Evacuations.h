// The failure domains that operators have evacuated: their targets get no new
// flows until the evacuation is withdrawn, and keep their open flows. A process
// never evacuates a domain by itself.
//
// The store holds one key for each evacuated domain. A balancer that can read
// the store passes the state of an agent's domain on to that agent, and agents
// report it in their statuses to all balancers. Each statement carries the
// store revision at which it was true; the highest revision wins. So a balancer
// that is cut off from the store, or a process that restarts, learns of a
// change from others, and an outdated statement cannot undo a newer one.
#ifndef BURDOCKSTREAM_FLOWS_EVACUATIONS_H
#define BURDOCKSTREAM_FLOWS_EVACUATIONS_H

#include "burdockstream/base/Ids.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::flows {

// Whether a failure domain was evacuated at a store revision.
struct DomainEvacuation {
  base::Revision Revision = 0; // 0: unknown
  bool Evacuated = false;

  friend bool operator==(const DomainEvacuation &,
                         const DomainEvacuation &) = default;
};

// Maximum number of domains that are kept. Further ones are ignored: other
// programs can write to the store.
inline constexpr size_t MaxEvacuatedDomains = 1024;

// Thread safety, for all methods: one thread at a time.
class Evacuations {
public:
  // Replaces the list by the complete one that the store held at Revision,
  // unless a newer one is known. Returns the domains whose state has changed.
  std::vector<std::string> setAll(const std::set<std::string> &Domains,
                                  base::Revision Revision);

  // Applies a change of one domain in the store. Returns whether the state of
  // the domain has changed.
  bool apply(const std::string &Domain, const DomainEvacuation &Change);

  // Records what an agent of Domain reports. Returns whether the state of the
  // domain has changed.
  bool report(const std::string &Domain, const DomainEvacuation &Reported);

  // Returns the newest known state of Domain.
  DomainEvacuation of(std::string_view Domain) const;

  // Returns the names of all evacuated domains.
  std::set<std::string> domains() const;

  // Number of evacuated domains in the store that are ignored because of
  // MaxEvacuatedDomains.
  size_t ignored() const { return Ignored; }

private:
  void advance(base::Revision Revision);

  base::Revision ListedAt = 0; // of the list; 0: none is known
  std::set<std::string, std::less<>> Listed;
  size_t Ignored = 0;
  // Reports that are newer than the list.
  std::map<std::string, DomainEvacuation, std::less<>> Reports;
};

} // namespace burdockstream::flows

#endif
