#include "WatcherDriver.h"

#include "Clock.h"

#include <utility>

namespace burdockstream::daemon {

namespace watcher = membership::watcher;

WatcherDriver::WatcherDriver(
    store::StoreClient &InitClient, base::RandomSource &Random,
    const std::string &FailureDomain,
    std::function<void(const messages::RecordEntry &)> OnRecord)
    : Client(InitClient),
      KeyPrefix("/burdockstream/watchers/" + FailureDomain + "/"),
      Election(Random),
      Watch(InitClient, {std::move(OnRecord),
                         [this](base::Revision Known) {
                           Election.advanceKnownRevision(Known);
                         },
                         [this] { deliver(watcher::WatchEnded{}); }}),
      Timer([this] {
        watcher::Sink Actions;
        Election.tick(readClocks().Monotonic, Actions);
        perform(Actions);
      }) {}

void WatcherDriver::setRank(size_t Rank) {
  Election.setRank(Rank, readClocks().Monotonic);
  Timer.set(Election.nextDeadline());
}

void WatcherDriver::stop() {
  Stopped = true;
  Watch.stop();
  Timer.set(base::Never);
}

void WatcherDriver::deliver(const watcher::Event &Event) {
  watcher::Sink Actions;
  Election.handle(Event, readClocks().Monotonic, Actions);
  perform(Actions);
}

void WatcherDriver::perform(const watcher::Sink &Actions) {
  if (Stopped)
    return;
  for (const watcher::Action &Wanted : Actions) {
    if (std::get_if<watcher::ReadKeys>(&Wanted))
      readKeys();
    else if (const auto *Request = std::get_if<watcher::RequestLease>(&Wanted))
      requestLease(*Request);
    else if (const auto *Take = std::get_if<watcher::TakeKey>(&Wanted))
      takeKey(*Take);
    else if (const auto *Keep = std::get_if<watcher::KeepAlive>(&Wanted))
      keepAlive(*Keep);
    else if (const auto *Start = std::get_if<watcher::StartWatch>(&Wanted))
      Watch.start(Start->From);
    else if (std::get_if<watcher::StopWatch>(&Wanted))
      Watch.stop();
  }
  Timer.set(Election.nextDeadline());
}

std::string WatcherDriver::keyOf(size_t Slot) const {
  return KeyPrefix + std::to_string(Slot);
}

void WatcherDriver::readKeys() {
  Client.readPrefix(
      KeyPrefix, [this](const base::Result<store::RangeReply> &Reply) {
        if (Reply.has_error()) {
          deliver(watcher::StoreError{});
          return;
        }
        watcher::KeysRead Read;
        for (const store::KeyValue &Entry : Reply.value().Values)
          for (size_t Slot = 0; Slot < Read.Held.size(); ++Slot)
            Read.Held[Slot] = Read.Held[Slot] || Entry.Key == keyOf(Slot);
        deliver(Read);
      });
}

void WatcherDriver::requestLease(const watcher::RequestLease &Wanted) {
  const auto Ttl =
      std::chrono::duration_cast<std::chrono::seconds>(Wanted.Lifetime);
  Client.grantLease(Ttl, [this](const base::Result<store::LeaseReply> &Reply) {
    if (Reply.has_error())
      deliver(watcher::StoreError{});
    else
      deliver(watcher::LeaseGranted{Reply.value().Lease});
  });
}

void WatcherDriver::takeKey(const watcher::TakeKey &Wanted) {
  const store::CasRequest Request{
      keyOf(Wanted.Slot), std::to_string(Wanted.Lease), 0, Wanted.Lease};
  Client.compareAndSwap(Request,
                        [this](const base::Result<store::CasReply> &Reply) {
                          if (Reply.has_error())
                            deliver(watcher::StoreError{});
                          else if (Reply.value().Succeeded)
                            deliver(watcher::KeyTaken{});
                          else
                            deliver(watcher::KeyLost{});
                        });
}

void WatcherDriver::keepAlive(const watcher::KeepAlive &Wanted) {
  Client.keepAlive(Wanted.Lease,
                   [this](const base::Result<store::LeaseReply> &Reply) {
                     if (Reply.has_value())
                       deliver(watcher::KeepAliveConfirmed{});
                     else if (Reply.error().Kind == base::ErrorKind::NotFound)
                       deliver(watcher::KeyLost{});
                     else
                       deliver(watcher::StoreError{});
                   });
}

} // namespace burdockstream::daemon
