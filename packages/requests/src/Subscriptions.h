// Observe subscriptions of callers (RFC 7641). Each subscription has one
// observation at the endpoint. Updates are delivered to the caller as
// confirmable notifications, in order and one at a time; missing updates are
// requested from the endpoint with the query item since=NUMBER.
#ifndef BURDOCKSTREAM_REQUESTS_SUBSCRIPTIONS_H
#define BURDOCKSTREAM_REQUESTS_SUBSCRIPTIONS_H

#include "CallerLayer.h"
#include "EndpointLayer.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace burdockstream::requests {

// RFC 7641 identifies an observation by the client's address and token.
struct SubscriptionKey {
  base::SocketAddress Caller;
  messages::Bytes Token;
  // clang-tidy 14 reports the comparison with 0 that the compiler generates.
  // NOLINTBEGIN(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const SubscriptionKey &,
                          const SubscriptionKey &) = default;
  // NOLINTEND(modernize-use-nullptr,readability-identifier-naming)
};

// Dependencies of Subscriptions. All must be set and outlive it.
struct SubscriptionContext {
  CallerLayer &Callers;
  EndpointLayer &Endpoint;
  const Settings &Config;
  std::function<void(Counter)> Count;
  std::function<base::Epoch(base::BucketIndex)> EpochOf;
  // Returns the first block of an update, or the whole update if it needs no
  // blocks. The body is stored for requests of later blocks.
  std::function<coap::CoapMessage(base::SocketAddress Caller,
                                  const coap::CoapMessage &Request,
                                  const coap::CoapMessage &Update, base::Now)>
      Slice;
};

// Single-threaded: used on the event loop's thread only.
class Subscriptions {
public:
  explicit Subscriptions(SubscriptionContext InitContext)
      : Context(std::move(InitContext)) {}

  // Creates a subscription, replacing one with the same key. The request is
  // acknowledged at once, so that its response is sent as a confirmable message
  // like all updates.
  void subscribe(const ExchangeKey &Exchange, base::BucketIndex Bucket,
                 const coap::CoapMessage &Request, base::Now Now, Sink &Out);

  // Removes a subscription; an unknown Key is ignored.
  void unsubscribe(const SubscriptionKey &Key);

  // Removes the subscription whose unanswered registration the caller reset.
  void cancelExchange(const ExchangeKey &Exchange);

  // Handle an event; return whether it belongs to a subscription.
  bool onEndpoint(const EndpointEvent &Event, base::Now Now, Sink &Out);
  bool onCaller(const CallerEvent &Event, base::Now Now, Sink &Out);

  // Registers all observations again after the endpoint was unavailable.
  void reregisterAll(base::Now Now, Sink &Out);

  // Stops new notifications and registrations of a bucket.
  void freeze(base::BucketIndex Bucket) { Frozen.insert(Bucket); }
  bool isFrozen(base::BucketIndex Bucket) const {
    return Frozen.contains(Bucket);
  }
  // Resumes a frozen bucket.
  void resume(base::BucketIndex Bucket, base::Now Now, Sink &Out);
  // Stops retransmitting the notifications in flight of a frozen bucket.
  void stopRetransmissions(base::BucketIndex Bucket);
  // Returns whether no notification of the bucket is in flight.
  bool allNotificationsAcknowledged(base::BucketIndex Bucket) const;
  // Returns the bucket's subscriptions for its new owner.
  std::vector<messages::Subscription>
  exportBucket(base::BucketIndex Bucket) const;
  // Adopts a subscription of a former owner.
  void import(base::BucketIndex Bucket, const messages::Subscription &Wire,
              base::Now Now, Sink &Out);
  // Removes all subscriptions of the bucket.
  void dropBucket(base::BucketIndex Bucket);

  size_t size() const { return Entries.size(); }
  // Registers the observations again that are due at Now.
  void tick(base::Now Now, Sink &Out);
  // Returns the time at which tick must be called next, or base::Never.
  base::TimePoint nextDeadline() const { return Timers.next(); }

private:
  struct Update {
    uint32_t Number = 0;
    coap::CoapMessage Message;
  };
  // An unacknowledged update that this agent or a former owner sent.
  struct SentUpdate {
    uint32_t Number = 0;
    uint16_t MessageId = 0;
  };
  struct Entry {
    base::BucketIndex Bucket = 0;
    coap::CoapMessage Request;             // without query item since
    std::optional<ExchangeKey> Unanswered; // registration of the caller
    EndpointExchange Exchange = 0;
    std::optional<uint32_t> LastDelivered; // acknowledged by the caller
    std::optional<uint32_t> LastAccepted;  // moved to Queue
    std::map<uint32_t, coap::CoapMessage> OutOfOrder; // updates after a gap
    std::deque<Update> Queue; // in order; the first may be in flight
    OutgoingId InFlight = 0;
    std::optional<SentUpdate> Sent;
    bool AwaitsResponse = false; // the latest registration has no response
    uint8_t GapRounds = 0;       // responses that lack the next update
    bool Overflowed = false;     // updates were dropped; request them again
  };

  void registerAtEndpoint(const SubscriptionKey &Key, Entry &Item,
                          base::Now Now, Sink &Out);
  void acceptUpdate(const SubscriptionKey &Key, Entry &Item,
                    const EndpointEvent &Event, base::Now Now, Sink &Out);
  bool initializeSequence(Entry &Item, const EndpointEvent &Event);
  void queueContiguousUpdates(Entry &Item);
  void handleGap(const SubscriptionKey &Key, Entry &Item, base::Now Now);
  void queueNoNewUpdate(Entry &Item, uint32_t Number);
  void onEndpointTermination(const SubscriptionKey &Key, Entry &Item,
                             const coap::CoapMessage &Response, base::Now Now,
                             Sink &Out);
  void sendNext(const SubscriptionKey &Key, Entry &Item, base::Now Now,
                Sink &Out);
  OutgoingId transmit(base::SocketAddress Caller, const Entry &Item,
                      coap::CoapMessage Message, base::Now Now, Sink &Out);
  void onDelivered(const SubscriptionKey &Key, base::Now Now, Sink &Out);
  void refresh(const SubscriptionKey &Key, base::Now Now, Sink &Out);

  SubscriptionContext Context;
  std::map<SubscriptionKey, Entry> Entries;
  std::map<EndpointExchange, SubscriptionKey> ByExchange;
  std::map<OutgoingId, SubscriptionKey> ByOutgoing;
  std::set<base::BucketIndex> Frozen;
  DeadlineIndex<SubscriptionKey> Timers; // next registration at the endpoint
};

} // namespace burdockstream::requests

#endif
