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
  for (const watcher::Action &Action : Actions) {
    if (std::get_if<watcher::ReadKeys>(&Action))
      readKeys();
    else if (const auto *Request = std::get_if<watcher::RequestLease>(&Action))
      requestLease(*Request);
    else if (const auto *Take = std::get_if<watcher::TakeKey>(&Action))
      takeKey(*Take);
    else if (const auto *Keep = std::get_if<watcher::KeepAlive>(&Action))
      keepAlive(*Keep);
    else if (const auto *Start = std::get_if<watcher::StartWatch>(&Action))
      Watch.start(Start->From);
    else if (std::get_if<watcher::StopWatch>(&Action))
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

void WatcherDriver::requestLease(const watcher::RequestLease &Action) {
  const auto Ttl =
      std::chrono::duration_cast<std::chrono::seconds>(Action.Lifetime);
  Client.grantLease(Ttl, [this](const base::Result<store::LeaseReply> &Reply) {
    if (Reply.has_error())
      deliver(watcher::StoreError{});
    else
      deliver(watcher::LeaseGranted{Reply.value().Lease});
  });
}

void WatcherDriver::takeKey(const watcher::TakeKey &Action) {
  const store::CasRequest Request{
      keyOf(Action.Slot), std::to_string(Action.Lease), 0, Action.Lease};
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

void WatcherDriver::keepAlive(const watcher::KeepAlive &Action) {
  Client.keepAlive(Action.Lease,
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
