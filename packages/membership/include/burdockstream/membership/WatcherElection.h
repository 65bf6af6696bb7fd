// Elects the two balancers of each failure domain that watch the records in the
// store. A balancer watches while it holds one of the keys
// /burdockstream/watchers/<domain>/<0 or 1> under a store lease. More watchers
// than two cost additional store calls but are otherwise harmless, because
// records are ordered by their store revision.
#ifndef BURDOCKSTREAM_MEMBERSHIP_WATCHERELECTION_H
#define BURDOCKSTREAM_MEMBERSHIP_WATCHERELECTION_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace burdockstream::membership {

inline constexpr size_t WatchersPerDomain = 2;
inline constexpr base::Duration WatcherLease = std::chrono::seconds(10);

namespace watcher {

// Events: results of actions.
struct KeysRead { // result of ReadKeys: which keys exist
  std::array<bool, WatchersPerDomain> Held{};
};
struct LeaseGranted { // result of RequestLease
  int64_t Lease = 0;
};
struct KeyTaken {}; // result of TakeKey: the key was created
struct KeyLost {};  // TakeKey: the key exists; KeepAlive: the lease expired
struct KeepAliveConfirmed {};
struct StoreError {}; // the outstanding call failed or its outcome is unknown
struct WatchEnded {
  bool Compacted = false; // the store has compacted the requested revision
};
using Event = std::variant<KeysRead, LeaseGranted, KeyTaken, KeyLost,
                           KeepAliveConfirmed, StoreError, WatchEnded>;

// Actions. At most one of the first four is outstanding at any time.
struct ReadKeys {}; // read the keys of the own failure domain
struct RequestLease {
  base::Duration Lifetime = WatcherLease;
};
struct TakeKey { // create the key under the lease, if it does not exist
  size_t Slot = 0;
  int64_t Lease = 0;
};
struct KeepAlive {
  int64_t Lease = 0;
};
struct StartWatch {
  // The first revision to watch; zero: read all records first.
  base::Revision From = 0;
};
struct StopWatch {};
using Action = std::variant<ReadKeys, RequestLease, TakeKey, KeepAlive,
                            StartWatch, StopWatch>;
using Sink = std::vector<Action>;

} // namespace watcher

// Returns the mean interval between attempts to become a watcher while others
// hold the keys, for the balancer with this rank (see watcherRank). The first
// four ranks try often, so that a failed watcher is replaced soon after its
// lease expires; the others try rarely, in case those four are unavailable.
// With 250 balancers in each of 8 failure domains this results in fewer than 20
// calls per second. Thread safety: any thread.
base::Duration watcherAttemptInterval(size_t Rank);

// Every call must carry a time not before that of the previous call, and tick()
// should be called at nextDeadline(). Thread safety: loop thread only.
class WatcherElection {
public:
  // Source must outlive the object.
  explicit WatcherElection(base::RandomSource &Source) : Random(&Source) {}

  // Sets this balancer's rank among the live balancers of its failure domain.
  // No attempt is made before the first call. Must be called after joining and
  // whenever the rank changes.
  void setRank(size_t Rank, base::TimePoint Now);

  // Sets the store revision up to which records are known, unless a higher one
  // is known already. A new watch starts after it.
  void advanceKnownRevision(base::Revision KnownRevision);

  // Processes the result of an action. Results that are not expected in the
  // current state are ignored.
  void handle(const watcher::Event &Body, base::TimePoint Now,
              watcher::Sink &Sink);

  // Performs all work whose deadline has passed.
  void tick(base::TimePoint Now, watcher::Sink &Sink);

  // Returns when tick() must be called next; base::Never before setRank().
  base::TimePoint nextDeadline() const;

  // Returns whether this balancer holds a key and must therefore watch.
  bool holdsKey() const { return Slot.has_value(); }

private:
  enum class Call : uint8_t { None, ReadKeys, Lease, TakeKey, KeepAlive };

  void beginCall(Call Kind, base::TimePoint Now);
  void retryAfterError(base::TimePoint Now);
  void waitForNextAttempt(base::TimePoint Now);
  void stepDown(base::TimePoint Now, watcher::Sink &Sink);
  void callFailed(base::TimePoint Now, watcher::Sink &Sink);
  void takeFirstFreeKey(base::TimePoint Now, watcher::Sink &Sink);
  base::Duration jitter(base::Duration Mean);

  void on(const watcher::KeysRead &Body, base::TimePoint Now,
          watcher::Sink &Sink);
  void on(const watcher::LeaseGranted &Body, base::TimePoint Now,
          watcher::Sink &Sink);
  void on(const watcher::KeyTaken &Body, base::TimePoint Now,
          watcher::Sink &Sink);
  void on(const watcher::KeyLost &Body, base::TimePoint Now,
          watcher::Sink &Sink);
  void on(const watcher::KeepAliveConfirmed &Body, base::TimePoint Now,
          watcher::Sink &Sink);
  void on(const watcher::StoreError &Body, base::TimePoint Now,
          watcher::Sink &Sink);
  void on(const watcher::WatchEnded &Body, base::TimePoint Now,
          watcher::Sink &Sink);

  base::RandomSource *Random;
  std::optional<size_t> Rank;
  base::Revision KnownRevision = 0;
  Call Pending = Call::None;
  base::TimePoint CallBegan;
  base::TimePoint CallTimeout = base::Never;
  base::TimePoint NextAttempt = base::Never;
  base::TimePoint NextKeepAlive = base::Never;
  base::TimePoint NextWatch = base::Never; // when to restart an ended watch
  base::TimePoint LeaseEnd;
  base::Duration Backoff{0};
  int64_t Lease = 0;
  size_t CandidateSlot = 0; // key that TakeKey tries to create
  std::array<bool, WatchersPerDomain> Held{};
  std::optional<size_t> Slot;
};

} // namespace burdockstream::membership

#endif
