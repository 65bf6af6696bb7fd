#include "burdockstream/records/AddressClaim.h"

namespace burdockstream::records {

base::Revision claimRevision(const ServiceConfig &Config) {
  // A claim cannot be later than the version that states it. Such a value was
  // written by hand and is ignored.
  const bool IsValid =
      Config.AddressSince > 0 && Config.AddressSince < Config.StoreRevision;
  return IsValid ? Config.AddressSince : Config.StoreRevision;
}

bool hasEarlierClaim(const ServiceConfig &A, const ServiceConfig &B) {
  const base::Revision RevisionOfA = claimRevision(A);
  const base::Revision RevisionOfB = claimRevision(B);
  return RevisionOfA != RevisionOfB ? RevisionOfA < RevisionOfB
                                    : A.Id.Value < B.Id.Value;
}

base::Revision inheritedClaimRevision(const ServiceConfig *Current,
                                      const ServiceConfig &Proposed) {
  if (!Current || Current->Retired || Current->Address != Proposed.Address)
    return 0;
  return claimRevision(*Current);
}

} // namespace burdockstream::records
