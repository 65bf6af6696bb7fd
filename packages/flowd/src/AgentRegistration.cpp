#include "burdockstream/flowd/AgentRegistration.h"

#include "burdockstream/flowd/AgentEntries.h"
#include "burdockstream/network/LoopTimer.h"

#include <utility>

namespace burdockstream::flowd {

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
  Store.put({formatEntryKey(Entry.Agent), formatEntryValue(Entry), Lease},
            ifAlive([this, UsedLease = Lease](base::Result<void> Reply) {
              Writing = false;
              if (!checkLease(UsedLease))
                return;
              if (Reply.has_error())
                return fail(Reply.error());
              Lost = false;
              if (Hooks.OnRegistered)
                Hooks.OnRegistered(Lease);
              schedule(LeaseRenewalInterval, [this] { renew(); });
            }));
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
  if (Reason.Kind == base::ErrorKind::NotFound)
    Lease = store::NoLease;
  // A failed write may have taken effect; repeating it is idempotent.
  schedule(RegistrationRetryDelay, [this] {
    if (Lease == store::NoLease)
      grant();
    else
      write();
  });
}

void AgentRegistration::onEntryMissing() {
  if (!Lost && !Writing && Lease != store::NoLease)
    write();
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
  const auto OnWritten = [this, EndingLease, GrantedIn,
                          Run = std::move(Done)](const base::Result<void> &) {
    // A failure to end the lease is ignored: the lease expires on its own.
    if (Store.era() == GrantedIn)
      return Store.endLease(EndingLease,
                            [Run](const base::Result<void> &) { Run(); });
    // The lease may be that of another agent by now.
    Store.grantLease(
        EntryLeaseTtl,
        ifAlive([this, Run](base::Result<store::LeaseReply> Reply) {
          if (Reply.has_error())
            return Run();
          writeEnded(Reply.value().Lease, Store.era(), Run);
        }));
  };
  Store.put({formatEntryKey(Entry.Agent), formatEntryValue(Entry), EndingLease},
            ifAlive(OnWritten));
}

} // namespace burdockstream::flowd
