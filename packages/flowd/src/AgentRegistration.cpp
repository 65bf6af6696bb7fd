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

// Wraps a callback so that it does nothing once the object is gone.
template <typename FunctionT> auto AgentRegistration::guarded(FunctionT Run) {
  return [Alive = std::weak_ptr(Life), Run = std::move(Run)](auto Reply) {
    if (!Alive.expired())
      Run(std::move(Reply));
  };
}

void AgentRegistration::next(base::Duration Delay, std::function<void()> Step) {
  if (Timer != 0)
    g_source_remove(Timer);
  Timer = network::callLater(Delay, [this, Run = std::move(Step)] {
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
  Store.grantLease(EntryLease,
                   guarded([this](base::Result<store::LeaseReply> Reply) {
                     if (Reply.has_error())
                       return fail(Reply.error());
                     Lease = Reply.value().Lease;
                     write();
                   }));
}

void AgentRegistration::write() {
  Writing = true;
  Store.put({entryKey(Entry.Agent), entryValue(Entry), Lease},
            guarded([this](base::Result<void> Reply) {
              Writing = false;
              if (Reply.has_error())
                return fail(Reply.error());
              Lost = false;
              if (Hooks.OnRegistered)
                Hooks.OnRegistered(Lease);
              next(RenewInterval, [this] { renew(); });
            }));
}

void AgentRegistration::renew() {
  Store.keepAlive(Lease, guarded([this](base::Result<store::LeaseReply> Reply) {
                    if (Reply.has_error())
                      return fail(Reply.error());
                    Lost = false;
                    next(RenewInterval, [this] { renew(); });
                  }));
}

void AgentRegistration::fail(const base::Error &Reason) {
  if (!std::exchange(Lost, true) && Hooks.OnLost)
    Hooks.OnLost(Reason);
  if (Reason.Kind == base::ErrorKind::NotFound)
    Lease = store::NoLease;
  // A write may have taken effect; writing the same entry again is harmless.
  next(RenewRetry, [this] {
    if (Lease == store::NoLease)
      grant();
    else
      write();
  });
}

void AgentRegistration::onMissed() {
  if (!Lost && !Writing && Lease != store::NoLease)
    write();
}

void AgentRegistration::withdraw(std::function<void()> Done) {
  if (Lease == store::NoLease)
    return Done();
  if (Timer != 0)
    g_source_remove(std::exchange(Timer, 0));
  Entry.Ended = true;
  const store::LeaseId Ending = std::exchange(Lease, store::NoLease);
  // A lease that could not be ended expires by itself.
  const auto EndLease = [this, Ending, Run = std::move(Done)] {
    Store.endLease(Ending, [Run](const base::Result<void> &) { Run(); });
  };
  Store.put({entryKey(Entry.Agent), entryValue(Entry), Ending},
            guarded([EndLease](const base::Result<void> &) { EndLease(); }));
}

} // namespace burdockstream::flowd
