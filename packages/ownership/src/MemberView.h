// The agents of the service as reported by membership, and since when bucket
// owners have been missing from that list.
#ifndef BURDOCKSTREAM_OWNERSHIP_SRC_MEMBERVIEW_H
#define BURDOCKSTREAM_OWNERSHIP_SRC_MEMBERVIEW_H

#include "burdockstream/base/Time.h"
#include "burdockstream/messages/Messages.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace burdockstream::ownership::internal {

class MemberView {
public:
  // Replaces the member list. Thread safety: loop thread only.
  void set(std::span<const messages::MemberInfo> Members);

  // Records the time since which each of Owners is missing from the list. Does
  // nothing before the first set(). Thread safety: loop thread only.
  void trackMissing(std::span<const base::DaemonId> Owners,
                    base::TimePoint Now);

  // Returns the member with this id, or nullptr. The pointer is valid until the
  // next set(). Thread safety: loop thread only.
  const messages::MemberInfo *find(base::DaemonId Id) const;

  // Returns whether Id is in state Ready, so that it can take over buckets.
  // Thread safety: loop thread only.
  bool ready(base::DaemonId Id) const;

  // Returns whether Id is listed as dead or stopped, or has been missing from
  // the list for 3 s. Thread safety: loop thread only.
  bool departed(base::DaemonId Id, base::TimePoint Now) const;

  // Thread safety: loop thread only.
  const std::vector<messages::MemberInfo> &all() const { return List; }

private:
  bool HasList = false;
  std::vector<messages::MemberInfo> List;
  std::unordered_map<base::DaemonId, base::TimePoint> MissingSince;
};

} // namespace burdockstream::ownership::internal

#endif
