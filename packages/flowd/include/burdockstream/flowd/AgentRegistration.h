// Keeps an agent's entry in the store: a lease, the entry under it, renewals,
// and a new start when the lease or the entry has been lost.
#ifndef BURDOCKSTREAM_FLOWD_AGENTREGISTRATION_H
#define BURDOCKSTREAM_FLOWD_AGENTREGISTRATION_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/TargetTable.h"
#include "burdockstream/store/Store.h"

#include <functional>
#include <glib.h>
#include <memory>
#include <string>

namespace burdockstream::flowd {

// The entry of an agent that has vanished is removed after this.
inline constexpr std::chrono::seconds EntryLease{10};

// A lapsed lease is noticed after at most this long; a renewal costs a tenth of
// a call.
inline constexpr base::Duration RenewInterval = std::chrono::milliseconds(2000);

// While the store does not answer. An entry that lapsed in an outage must be
// back within two seconds of its end.
inline constexpr base::Duration RenewRetry = std::chrono::milliseconds(700);

struct RegistrationHooks {
  std::function<void(const base::Error &)> OnLost; // the store or the lease
  std::function<void(store::LeaseId)> OnRegistered;
};

// Thread safety, for all methods: loop thread only.
class AgentRegistration {
public:
  // Store must outlive the object.
  AgentRegistration(store::Store &InitStore, RegistrationHooks InitHooks);
  ~AgentRegistration();
  AgentRegistration(const AgentRegistration &) = delete;
  AgentRegistration &operator=(const AgentRegistration &) = delete;

  // Writes Entry, or replaces the one written before.
  void set(const flows::AgentEntry &Entry);

  // A balancer does not see the entry although it sees the store.
  void onMissed();

  // Says in the entry that the target has ended, and removes it; then calls
  // Done, also if that fails.
  void withdraw(std::function<void()> Done);

private:
  void grant();
  void write();
  void renew();
  void fail(const base::Error &Reason);
  void next(base::Duration Delay, std::function<void()> Step);
  template <typename FunctionT> auto guarded(FunctionT Run);

  store::Store &Store;
  RegistrationHooks Hooks;
  flows::AgentEntry Entry;
  store::LeaseId Lease = store::NoLease;
  bool Lost = false;
  bool Writing = false;
  guint Timer = 0;
  std::shared_ptr<int> Life = std::make_shared<int>(0);
};

} // namespace burdockstream::flowd

#endif
