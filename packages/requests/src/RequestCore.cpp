#include "burdockstream/requests/RequestCore.h"

#include "CoreState.h"

namespace burdockstream::requests {

RequestCore::State::State(Settings InitSettings, Hooks InitHooks,
                          base::RandomSource &InitRandom)
    : Config(std::move(InitSettings)), Callbacks(std::move(InitHooks)),
      Callers(InitRandom, [this](Counter Value) { count(Value); }),
      Endpoint(Config, InitRandom, [this](Counter Value) { count(Value); }),
      Records(Config.Self),
      Observers(
          {Callers, Endpoint, Config, [this](Counter Value) { count(Value); },
           [this](base::BucketIndex Bucket) { return epochOf(Bucket); },
           [this](base::SocketAddress Caller, const coap::CoapMessage &Request,
                  const coap::CoapMessage &Update, base::Now Now) {
             if (Update.Payload.size() > MaxBlockSize)
               Bodies.put(Caller, bodyKey(Request), Update, Now);
             return sliceBody(Update, std::nullopt);
           }}),
      Estimator(Config.LongThreshold), Budget(Config.RetryShare) {}

void RequestCore::State::applyLimits() {
  EndpointSlots.setMaximum(
      std::min<uint32_t>(Service.SlotsPerEndpoint,
                         Share.Slots.value_or(Service.SlotsPerEndpoint)));
}

RequestCore::RequestCore(Settings InitSettings, Hooks InitHooks,
                         base::RandomSource &Random)
    : Self(std::make_unique<State>(std::move(InitSettings),
                                   std::move(InitHooks), Random)) {}

RequestCore::~RequestCore() = default;

void RequestCore::configure(const records::ServiceConfig &Config) {
  Self->Service = Config;
  Self->Estimator.setRules(Config.Classes);
  Self->applyLimits();
}

void RequestCore::setTeamShare(const TeamShare &Share) {
  Self->Share = Share;
  Self->applyLimits();
}

void RequestCore::setClockTrusted(bool Trusted) {
  Self->ClockTrusted = Trusted;
}

void RequestCore::onCaller(const messages::Forward &Packet,
                           const messages::BucketAuthority &Authority,
                           base::Now Now, Sink &Out) {
  if (Packet.Service != Self->Service.Id) {
    Self->count(Counter::WrongService);
    return;
  }
  const EventContext Ctx{Now, Out};
  Self->setAuthority(Packet.Bucket, Authority, Ctx);
  Self->onCaller(Packet, Ctx);
  Self->dispatch(Ctx);
}

void RequestCore::onEndpoint(std::span<const uint8_t> Datagram, base::Now Now,
                             Sink &Out) {
  const EventContext Ctx{Now, Out};
  Self->onEndpoint(Datagram, Ctx);
  Self->dispatch(Ctx);
}

void RequestCore::onRunRequest(const messages::RunRequest &Request,
                               base::Now Now, Sink &Out) {
  const EventContext Ctx{Now, Out};
  Self->onRunRequest(Request, Ctx);
  Self->dispatch(Ctx);
}

void RequestCore::onRunReply(base::DaemonId From,
                             const messages::RunReply &Reply, base::Now Now,
                             Sink &Out) {
  const EventContext Ctx{Now, Out};
  Self->onRunReply(From, Reply, Ctx);
  Self->dispatch(Ctx);
}

void RequestCore::onRecordUpdate(const messages::RecordUpdate &Update,
                                 base::Now Now, Sink &Out) {
  Self->onRecordUpdate(Update, {Now, Out});
}

void RequestCore::onPeerDead(base::DaemonId Peer, base::Now Now, Sink &Out) {
  const EventContext Ctx{Now, Out};
  Self->onPeerDead(Peer, Ctx);
  Self->dispatch(Ctx);
}

void RequestCore::setAuthority(base::BucketIndex Bucket,
                               const messages::BucketAuthority &Authority,
                               base::Now Now, Sink &Out) {
  const EventContext Ctx{Now, Out};
  Self->setAuthority(Bucket, Authority, Ctx);
  Self->dispatch(Ctx);
}

void RequestCore::setEpoch(base::BucketIndex Bucket, base::Epoch OwnerEpoch) {
  Self->Buckets[Bucket].OwnerEpoch = OwnerEpoch;
}

void RequestCore::freezeBucket(base::BucketIndex Bucket) {
  Self->Observers.freeze(Bucket);
}

bool RequestCore::allNotificationsAcknowledged(base::BucketIndex Bucket) const {
  return Self->Observers.allNotificationsAcknowledged(Bucket);
}

messages::BucketSnapshot RequestCore::exportBucket(base::BucketIndex Bucket,
                                                   base::DaemonId To,
                                                   base::Epoch OwnerEpoch,
                                                   base::Now /*Now*/) {
  return Self->exportBucket(Bucket, To, OwnerEpoch);
}

void RequestCore::resumeBucket(base::BucketIndex Bucket, base::Now Now,
                               Sink &Out) {
  Self->Buckets[Bucket].ExportedTo = {};
  Self->Observers.resume(Bucket, Now, Out);
}

void RequestCore::importBucket(const messages::BucketSnapshot &Snapshot,
                               base::Now Now, Sink &Out) {
  const EventContext Ctx{Now, Out};
  Self->importBucket(Snapshot, Ctx);
  Self->dispatch(Ctx);
}

void RequestCore::dropBucket(base::BucketIndex Bucket) {
  Self->Records.dropBucket(Bucket);
  Self->Observers.dropBucket(Bucket);
  Self->Buckets[Bucket].Imported = false;
}

void RequestCore::startDrain(base::Now Now) {
  if (Self->Draining)
    return;
  Self->Draining = true;
  Self->DrainWindowEnd = Now.Monotonic + DrainWindow;
}

bool RequestCore::isIdle() const { return Self->isIdle(); }

bool RequestCore::endpointAlive() const { return Self->Endpoint.alive(); }

LoadView RequestCore::load(base::Now Now) const { return Self->load(Now); }

void RequestCore::tick(base::Now Now, Sink &Out) {
  const EventContext Ctx{Now, Out};
  Self->tick(Ctx);
  Self->dispatch(Ctx);
}

base::TimePoint RequestCore::nextDeadline() const {
  return Self->nextDeadline();
}

} // namespace burdockstream::requests
