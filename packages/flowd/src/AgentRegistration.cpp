#include "burdockstream/flowd/AgentRegistration.h"

#include "burdockstream/flowd/AgentEntries.h"
#include "burdockstream/network/LoopTimer.h"

#include <utility>

namespace burdockstream::flowd {

namespace {

// Conflicts in a row after which a write counts as failed. One is expected
// after a restart, and one more after each write without an answer.
constexpr int MaxConflicts = 3;

// Returns the revision of the key after a write, 0 if it is absent.
base::Revision revisionAfter(const store::PutReply &Reply) {
  if (Reply.Written)
    return Reply.Revision;
  return Reply.Current ? Reply.Current->ModRevision : 0;
}

} // namespace

AgentRegistration::AgentRegistration(store::Store &InitStore,
                                     RegistrationHooks InitHooks)
    : Store(InitStore), Hooks(std::move(InitHooks)) {}

AgentRegistration::~AgentRegistration() {
  if (Timer != 0)
    g_source_remove(Timer);
}

// Wraps a callback so that it does nothing after the object is destroyed.
template <typename FunctionT> auto AgentRegistration::ifAlive(FunctionT Run) {
  return
      [Alive = std::weak_ptr(LifetimeToken), Run = std::move(Run)](auto Reply) {
        if (!Alive.expired())
          Run(std::move(Reply));
      };
}

void AgentRegistration::schedule(base::Duration Delay,
                                 std::function<void()> Action) {
  if (Timer != 0)
    g_source_remove(Timer);
  Timer = network::callLater(Delay, [this, Run = std::move(Action)] {
    Timer = 0;
    Run();
  });
}

void AgentRegistration::set(const flows::AgentEntry &New) {
  Entry = New;
  if (Lease == store::NoLease)
    return grant();
  write();
}

void AgentRegistration::grant() {
  Store.grantLease(EntryLeaseTtl,
                   ifAlive([this](base::Result<store::LeaseReply> Reply) {
                     if (Reply.has_error())
                       return fail(Reply.error());
                     Lease = Reply.value().Lease;
                     LeaseEra = Store.era();
                     write();
                   }));
}

void AgentRegistration::write() {
  Writing = true;
  Store.put(
      {formatEntryKey(Entry.Agent), formatEntryValue(Entry), Lease, Known},
      ifAlive([this,
               UsedLease = Lease](const base::Result<store::PutReply> &Reply) {
        Writing = false;
        if (checkLease(UsedLease))
          onWritten(Reply);
      }));
}

void AgentRegistration::onWritten(const base::Result<store::PutReply> &Reply) {
  if (Reply.has_error())
    return fail(Reply.error());
  Known = revisionAfter(Reply.value());
  if (!Reply.value().Written) {
    // An earlier process at this address has left the entry, or an earlier
    // write was executed without an answer.
    if (++Conflicts <= MaxConflicts)
      return write();
    return fail(base::makeError(base::ErrorKind::Conflict,
                                formatEntryKey(Entry.Agent) +
                                    " is written by another process too; give "
                                    "each process an address of its own"));
  }
  Conflicts = 0;
  Lost = false;
  if (Hooks.OnRegistered)
    Hooks.OnRegistered(Lease);
  schedule(LeaseRenewalInterval, [this] { renew(); });
}

void AgentRegistration::renew() {
  Store.keepAlive(Lease, ifAlive([this, UsedLease = Lease](
                                     base::Result<store::LeaseReply> Reply) {
                    if (!checkLease(UsedLease))
                      return;
                    if (Reply.has_error())
                      return fail(Reply.error());
                    Lost = false;
                    schedule(LeaseRenewalInterval, [this] { renew(); });
                  }));
}

bool AgentRegistration::checkLease(store::LeaseId UsedLease) {
  if (UsedLease != Lease)
    return false;
  if (Store.era() == LeaseEra)
    return true;
  reportLost(base::makeError(base::ErrorKind::NotFound,
                             "the store has returned from an older copy; the "
                             "entry is written again under a new lease"));
  Lease = store::NoLease;
  Known = 0; // revisions of the earlier era name other writes
  if (Timer != 0)
    g_source_remove(std::exchange(Timer, 0));
  grant();
  return false;
}

void AgentRegistration::reportLost(const base::Error &Reason) {
  if (!std::exchange(Lost, true) && Hooks.OnLost)
    Hooks.OnLost(Reason);
}

void AgentRegistration::fail(const base::Error &Reason) {
  reportLost(Reason);
  Conflicts = 0;
  if (Reason.Kind == base::ErrorKind::NotFound) {
    Lease = store::NoLease;
    Known = 0; // the entry was removed with its lease
  }
  // A failed write may have taken effect; repeating it is idempotent.
  schedule(RegistrationRetryDelay, [this] {
    if (Lease == store::NoLease)
      grant();
    else
      write();
  });
}

void AgentRegistration::onEntryMissing() {
  if (Lost || Writing || Lease == store::NoLease)
    return;
  Known = 0;
  write();
}

void AgentRegistration::announceRestart(std::function<void()> Done) {
  if (Lease == store::NoLease || Lost)
    return Done();
  if (Timer != 0)
    g_source_remove(std::exchange(Timer, 0));
  flows::AgentEntry Announced = Entry;
  Announced.Restarting = true;
  Store.put(
      {formatEntryKey(Entry.Agent), formatEntryValue(Announced), Lease, Known},
      ifAlive([this, Run = std::move(Done)](
                  const base::Result<store::PutReply> &Reply) {
        if (Reply.has_value())
          Known = revisionAfter(Reply.value());
        Run();
      }));
}

void AgentRegistration::deregister(std::function<void()> Done) {
  if (Lease == store::NoLease)
    return Done();
  if (Timer != 0)
    g_source_remove(std::exchange(Timer, 0));
  Entry.Ended = true;
  writeEnded(std::exchange(Lease, store::NoLease), LeaseEra, std::move(Done));
}

void AgentRegistration::writeEnded(store::LeaseId EndingLease,
                                   base::Era GrantedIn,
                                   std::function<void()> Done) {
  const auto OnWritten = [this, EndingLease, GrantedIn, Run = std::move(Done)](
                             const base::Result<store::PutReply> &Reply) {
    if (Store.era() == GrantedIn)
      return endLease(EndingLease, Reply, Run);
    // The lease may be that of another agent by now.
    Store.grantLease(
        EntryLeaseTtl,
        ifAlive([this, Run](base::Result<store::LeaseReply> Granted) {
          if (Granted.has_error())
            return Run();
          Known = 0;
          writeEnded(Granted.value().Lease, Store.era(), Run);
        }));
  };
  Store.put({formatEntryKey(Entry.Agent), formatEntryValue(Entry), EndingLease,
             Known},
            ifAlive(OnWritten));
}

void AgentRegistration::endLease(store::LeaseId EndingLease,
                                 const base::Result<store::PutReply> &Reply,
                                 const std::function<void()> &Done) {
  // While this process runs at the address, the entry cannot be a successor's.
  if (Reply.has_value() && !Reply.value().Written &&
      ++Conflicts <= MaxConflicts) {
    Known = revisionAfter(Reply.value());
    return writeEnded(EndingLease, Store.era(), Done);
  }
  // A failure to end the lease is ignored: the lease expires on its own.
  Store.endLease(EndingLease, [Done](const base::Result<void> &) { Done(); });
}

} // namespace burdockstream::flowd
