// Registers an agent in the store: grants a lease, writes the agent's entry
// under it, renews the lease, and registers again if the lease or the entry is
// lost, or the store has returned from an older copy.
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

// The store removes the entry of an agent that has failed after this time.
inline constexpr std::chrono::seconds EntryLeaseTtl{10};

// Bounds the time until an expired lease is detected. A renewal costs a tenth
// of an ordinary store call.
inline constexpr base::Duration LeaseRenewalInterval =
    std::chrono::milliseconds(2000);

// Delay between attempts while the store is unavailable. An entry that expired
// during an outage must be written again within two seconds after the outage.
inline constexpr base::Duration RegistrationRetryDelay =
    std::chrono::milliseconds(700);

struct RegistrationHooks {
  // The store failed, or the lease has expired; called once per outage.
  std::function<void(const base::Error &)> OnLost;
  // The entry was written under the lease.
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

  // Writes Entry to the store, or replaces the entry that is there: the agent's
  // own, or that of an earlier process at the same address. Failures are
  // reported through OnLost and retried.
  void set(const flows::AgentEntry &Entry);

  // Writes the entry again, because a balancer that can read the store does not
  // see it. Does nothing during a write or an outage.
  void onEntryMissing();

  // Writes into the entry that the agent restarts, for balancers that start
  // while it is away. The entry and its lease stay. Calls Done afterwards, also
  // on failure; at once without an entry.
  void announceRestart(std::function<void()> Done);

  // Marks the entry as ended, on the condition of write(), and then ends the
  // lease, which removes the entry. Calls Done afterwards, also on failure.
  void deregister(std::function<void()> Done);

private:
  void grant();
  // Writes the entry on the condition that the key has not changed since its
  // revision Known. A write without an answer may be executed after the agent
  // has left, and must not overwrite the entry of a process that has started at
  // the same address since.
  void write();
  void onWritten(const base::Result<store::PutReply> &Reply);
  void renew();
  void fail(const base::Error &Reason);
  void reportLost(const base::Error &Reason);
  // Checks after a reply to a call that used UsedLease whether it is still the
  // lease of the entry, and requests a new one if its era has ended. Returns
  // whether the reply is to be handled.
  bool checkLease(store::LeaseId UsedLease);
  // Writes the ended entry under EndingLease, and then ends the lease.
  void writeEnded(store::LeaseId EndingLease, base::Era GrantedIn,
                  std::function<void()> Done);
  // Ends EndingLease after the write of the ended entry with Reply, or repeats
  // the write if the entry has changed.
  void endLease(store::LeaseId EndingLease,
                const base::Result<store::PutReply> &Reply,
                const std::function<void()> &Done);
  // Runs Action after Delay; replaces an action that is already scheduled.
  void schedule(base::Duration Delay, std::function<void()> Action);
  template <typename FunctionT> auto ifAlive(FunctionT Run);

  store::Store &Store;
  RegistrationHooks Hooks;
  flows::AgentEntry Entry;
  store::LeaseId Lease = store::NoLease;
  base::Era LeaseEra = base::FirstEra; // in which Lease was granted
  base::Revision Known = 0; // of the entry in the store; 0: there is none
  bool Lost = false;        // the last call failed
  bool Writing = false;     // a write of the entry is in progress
  int Conflicts = 0;        // in a row
  guint Timer = 0;
  // Expires with the object; pending callbacks hold weak references to it.
  std::shared_ptr<int> LifetimeToken = std::make_shared<int>(0);
};

} // namespace burdockstream::flowd

#endif
