#include "Subscriptions.h"

#include <charconv>

namespace burdockstream::requests {

namespace {

constexpr std::string_view SincePrefix = "since=";

// Rounds of four retransmissions after which the subscription of an
// unresponsive caller ends, 124 to 186 s after the first transmission.
constexpr uint8_t NotificationRounds = 2;
// Time after which a missing update is requested from the endpoint. Usually the
// endpoint's own retransmission fills the gap first.
constexpr base::Duration GapTimeout = std::chrono::seconds(1);
// Number of registrations that the endpoint answers with a later update before
// the missing one is assumed not to exist. Lost registrations do not count.
constexpr uint8_t MaxGapRounds = 3;
// Delay before a failed registration is repeated.
constexpr base::Duration RegisterPause = std::chrono::seconds(2);
// Bounds memory per caller. Updates beyond it are dropped and requested from
// the endpoint when the queue is empty.
constexpr size_t MaxQueuedUpdates = 64;

bool isSuccess(coap::Code Value) {
  return static_cast<uint8_t>(Value) >> 5 == 2;
}

// Removes the query item since from Request and returns its value.
std::optional<uint32_t> extractSince(coap::CoapMessage &Request) {
  const auto Text = coap::queryValue(Request, "since");
  std::erase_if(Request.Query, [](const std::string &Item) {
    return Item.starts_with(SincePrefix);
  });
  uint32_t Value = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Value).ptr !=
          Text->data() + Text->size())
    return std::nullopt;
  return Value;
}

} // namespace

void Subscriptions::subscribe(const ExchangeKey &Exchange,
                              base::BucketIndex Bucket,
                              const coap::CoapMessage &Request, base::Now Now,
                              Sink &Out) {
  const SubscriptionKey Key{Exchange.Caller, Request.Token};
  unsubscribe(Key);
  Context.Callers.acknowledge(Exchange, Out);
  Entry &Item = Entries[Key];
  Item.Bucket = Bucket;
  Item.Request.MessageCode = coap::Code::Get;
  Item.Request.Path = Request.Path;
  Item.Request.Query = Request.Query;
  Item.Request.OtherOptions = Request.OtherOptions;
  Item.LastAccepted = Item.LastDelivered = extractSince(Item.Request);
  Item.Unanswered = Exchange;
  registerAtEndpoint(Key, Item, Now, Out);
}

void Subscriptions::cancelExchange(const ExchangeKey &Exchange) {
  for (const auto &[Key, Item] : Entries)
    if (Item.Unanswered == Exchange) {
      unsubscribe(SubscriptionKey(Key));
      return;
    }
}

void Subscriptions::unsubscribe(const SubscriptionKey &Key) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return;
  Entry &Item = Found->second;
  if (Item.Unanswered)
    Context.Callers.close(*Item.Unanswered);
  Context.Callers.abandon(Item.InFlight);
  Context.Endpoint.close(Item.Exchange);
  ByOutgoing.erase(Item.InFlight);
  ByExchange.erase(Item.Exchange);
  Timers.clear(Key);
  Entries.erase(Found);
}

void Subscriptions::registerAtEndpoint(const SubscriptionKey &Key, Entry &Item,
                                       base::Now Now, Sink &Out) {
  Timers.set(Key, Now.Monotonic + Context.Config.ObserveRefresh);
  // A dead endpoint is pinged, and reregisterAll is called when it answers.
  if (!Context.Endpoint.alive() || isFrozen(Item.Bucket))
    return;
  Item.AwaitsResponse = true;
  coap::CoapMessage Request = Item.Request;
  Request.Observe = 0;
  if (Item.LastAccepted)
    Request.Query.push_back(std::string(SincePrefix) +
                            std::to_string(*Item.LastAccepted));
  if (Item.Exchange != 0) {
    Context.Endpoint.reopen(Item.Exchange, std::move(Request), Now, Out);
    return;
  }
  Item.Exchange = Context.Endpoint.open(std::move(Request),
                                        ExchangeKind::Observation, Now, Out);
  ByExchange[Item.Exchange] = Key;
}

bool Subscriptions::onEndpoint(const EndpointEvent &Event, base::Now Now,
                               Sink &Out) {
  const auto Found = ByExchange.find(Event.Exchange);
  if (Found == ByExchange.end())
    return false;
  const SubscriptionKey Key = Found->second;
  Entry &Item = Entries.at(Key);
  if (Event.What != EndpointEvent::Kind::Response) {
    // After a reset the exchange is closed already. After a missing
    // acknowledgment it is of no further use. Both continue in a new exchange.
    Context.Endpoint.close(Item.Exchange);
    ByExchange.erase(Found);
    Item.Exchange = 0;
    Timers.set(Key, Now.Monotonic + RegisterPause);
    return true;
  }
  Timers.set(Key, Now.Monotonic + Context.Config.ObserveRefresh);
  if (isSuccess(Event.Message.MessageCode) && Event.Message.Observe)
    acceptUpdate(Key, Item, Event, Now, Out);
  else
    onEndpointTermination(Key, Item, Event.Message, Now, Out);
  return true;
}

bool Subscriptions::initializeSequence(Entry &Item,
                                       const EndpointEvent &Event) {
  if (Item.LastAccepted)
    return true;
  // Without a since item, the response to the registration determines the first
  // number; an update that overtakes this response must wait for it.
  if (!Event.RequestAcknowledged)
    return false;
  const uint32_t First = Item.OutOfOrder.begin()->first;
  Item.LastAccepted = Item.LastDelivered = First == 0 ? 0 : First - 1;
  if (First == 0) { // no number precedes zero, so queue the update directly
    Item.Queue.push_back({0, Item.OutOfOrder.begin()->second});
    Item.OutOfOrder.erase(Item.OutOfOrder.begin());
  }
  return true;
}

void Subscriptions::acceptUpdate(const SubscriptionKey &Key, Entry &Item,
                                 const EndpointEvent &Event, base::Now Now,
                                 Sink &Out) {
  const uint32_t Number = *Event.Message.Observe;
  const bool IsAnswer = Event.RequestAcknowledged && Item.AwaitsResponse;
  if (IsAnswer)
    Item.AwaitsResponse = false;
  if (IsAnswer && Item.LastAccepted && Number > *Item.LastAccepted + 1)
    ++Item.GapRounds;
  if (Item.LastAccepted && Number <= *Item.LastAccepted) {
    if (Item.Unanswered && Item.Queue.empty())
      queueNoNewUpdate(Item, Number);
    else
      Context.Count(Counter::UpdateDuplicate);
  } else if (Item.Queue.size() + Item.OutOfOrder.size() >= MaxQueuedUpdates &&
             Number != Item.LastAccepted.value_or(Number) + 1) {
    // The next update in order is always accepted; otherwise a gap could never
    // be closed.
    Item.Overflowed = true;
  } else {
    Item.OutOfOrder.emplace(Number, Event.Message);
  }
  if (!initializeSequence(Item, Event)) {
    Timers.set(Key, Now.Monotonic + GapTimeout);
    return;
  }
  queueContiguousUpdates(Item);
  handleGap(Key, Item, Now);
  sendNext(Key, Item, Now, Out);
}

void Subscriptions::queueContiguousUpdates(Entry &Item) {
  while (!Item.OutOfOrder.empty() &&
         Item.OutOfOrder.begin()->first <= *Item.LastAccepted + 1) {
    auto First = Item.OutOfOrder.extract(Item.OutOfOrder.begin());
    if (First.key() <= *Item.LastAccepted)
      continue;
    Item.LastAccepted = First.key();
    Item.Queue.push_back({First.key(), std::move(First.mapped())});
    Item.GapRounds = 0;
  }
}

void Subscriptions::handleGap(const SubscriptionKey &Key, Entry &Item,
                              base::Now Now) {
  if (Item.OutOfOrder.empty())
    return;
  if (Item.GapRounds < MaxGapRounds) {
    Timers.set(Key, Now.Monotonic + GapTimeout);
    return;
  }
  Context.Count(Counter::UpdateGapAccepted);
  Item.LastAccepted = Item.OutOfOrder.begin()->first - 1;
  queueContiguousUpdates(Item);
}

// Answers the caller's registration when no update exists after its since item.
// The response is 2.03 (Valid), which has no payload and so cannot be mistaken
// for an update.
void Subscriptions::queueNoNewUpdate(Entry &Item, uint32_t Number) {
  coap::CoapMessage Valid;
  Valid.MessageCode = coap::Code::Valid;
  Item.Queue.push_back({Number, std::move(Valid)});
}

void Subscriptions::onEndpointTermination(const SubscriptionKey &Key,
                                          Entry &Item,
                                          const coap::CoapMessage &Response,
                                          base::Now Now, Sink &Out) {
  const bool Temporary = static_cast<uint8_t>(Response.MessageCode) >> 5 == 5;
  if (Temporary && !Item.Unanswered) {
    Timers.set(Key, Now.Monotonic + RegisterPause);
    return;
  }
  coap::CoapMessage Final =
      Context.Slice(Key.Caller, Item.Request, Response, Now);
  Final.Observe.reset();
  const base::Epoch Epoch = Context.EpochOf(Item.Bucket);
  if (Item.Unanswered) {
    Context.Callers.respond(*Item.Unanswered, std::move(Final), Epoch, Now,
                            Out);
  } else {
    Final.Token = Key.Token;
    Context.Callers.sendConfirmable(Key.Caller, std::move(Final), Epoch, Now,
                                    Out);
  }
  unsubscribe(Key);
}

void Subscriptions::sendNext(const SubscriptionKey &Key, Entry &Item,
                             base::Now Now, Sink &Out) {
  if (Item.InFlight != 0 || Item.Queue.empty() || isFrozen(Item.Bucket))
    return;
  const Update &Next = Item.Queue.front();
  coap::CoapMessage Message =
      Context.Slice(Key.Caller, Item.Request, Next.Message, Now);
  Message.Token = Key.Token;
  Message.Observe = Next.Number;
  if (Item.Unanswered)
    Context.Callers.close(*Item.Unanswered);
  Item.Unanswered.reset();
  Item.InFlight = transmit(Key.Caller, Item, std::move(Message), Now, Out);
  Item.Sent = {Next.Number, Context.Callers.messageIdOf(Item.InFlight)};
  ByOutgoing[Item.InFlight] = Key;
  Context.Count(Counter::NotificationSent);
}

OutgoingId Subscriptions::transmit(base::SocketAddress Caller,
                                   const Entry &Item, coap::CoapMessage Message,
                                   base::Now Now, Sink &Out) {
  const bool IsCopy = Item.Sent && Item.Sent->Number == Message.Observe;
  if (IsCopy)
    return Context.Callers.resumeConfirmable(Caller, std::move(Message),
                                             Item.Sent->MessageId, Now, Out,
                                             NotificationRounds);
  return Context.Callers.sendConfirmable(Caller, std::move(Message),
                                         Context.EpochOf(Item.Bucket), Now, Out,
                                         NotificationRounds);
}

bool Subscriptions::onCaller(const CallerEvent &Event, base::Now Now,
                             Sink &Out) {
  const auto Found = ByOutgoing.find(Event.Outgoing);
  if (Found == ByOutgoing.end())
    return false;
  const SubscriptionKey Key = Found->second;
  ByOutgoing.erase(Found);
  Entries.at(Key).InFlight = 0;
  if (Event.What == CallerEvent::Kind::Delivered) {
    onDelivered(Key, Now, Out);
    return true;
  }
  if (Event.What == CallerEvent::Kind::Undelivered)
    Context.Count(Counter::SubscriptionDropped);
  unsubscribe(Key);
  return true;
}

void Subscriptions::onDelivered(const SubscriptionKey &Key, base::Now Now,
                                Sink &Out) {
  Entry &Item = Entries.at(Key);
  Item.LastDelivered =
      std::max(Item.LastDelivered.value_or(0), Item.Queue.front().Number);
  Item.Queue.pop_front();
  Item.Sent.reset();
  sendNext(Key, Item, Now, Out);
  if (Item.Queue.empty() && Item.Overflowed) {
    Item.Overflowed = false;
    registerAtEndpoint(Key, Item, Now, Out);
  }
}

void Subscriptions::refresh(const SubscriptionKey &Key, base::Now Now,
                            Sink &Out) {
  Entry &Item = Entries.at(Key);
  if (!Item.OutOfOrder.empty())
    Context.Count(Counter::UpdateGap);
  registerAtEndpoint(Key, Item, Now, Out);
  if (!Item.OutOfOrder.empty())
    Timers.set(Key, Now.Monotonic + GapTimeout);
}

void Subscriptions::reregisterAll(base::Now Now, Sink &Out) {
  for (auto &[Key, Item] : Entries)
    registerAtEndpoint(Key, Item, Now, Out);
}

void Subscriptions::resume(base::BucketIndex Bucket, base::Now Now, Sink &Out) {
  if (Frozen.erase(Bucket) == 0)
    return;
  for (auto &[Key, Item] : Entries)
    if (Item.Bucket == Bucket) {
      registerAtEndpoint(Key, Item, Now, Out);
      sendNext(Key, Item, Now, Out);
    }
}

void Subscriptions::stopRetransmissions(base::BucketIndex Bucket) {
  for (auto &[Key, Item] : Entries)
    if (Item.Bucket == Bucket && Item.InFlight != 0) {
      Context.Callers.abandon(Item.InFlight);
      ByOutgoing.erase(Item.InFlight);
      Item.InFlight = 0;
    }
}

bool Subscriptions::allNotificationsAcknowledged(
    base::BucketIndex Bucket) const {
  for (const auto &[Key, Item] : Entries)
    if (Item.Bucket == Bucket && Item.InFlight != 0)
      return false;
  return true;
}

std::vector<messages::Subscription>
Subscriptions::exportBucket(base::BucketIndex Bucket) const {
  std::vector<messages::Subscription> Wire;
  for (const auto &[Key, Item] : Entries)
    if (Item.Bucket == Bucket) {
      const SentUpdate Sent = Item.Sent.value_or(SentUpdate{});
      Wire.push_back({Key.Caller, Key.Token, coap::joinPath(Item.Request.Path),
                      coap::joinQuery(Item.Request.Query),
                      Item.LastDelivered.value_or(0), Item.Sent.has_value(),
                      Sent.Number, Sent.MessageId});
    }
  return Wire;
}

void Subscriptions::import(base::BucketIndex Bucket,
                           const messages::Subscription &Wire, base::Now Now,
                           Sink &Out) {
  const SubscriptionKey Key{Wire.Caller, Wire.Token};
  unsubscribe(Key);
  Entry &Item = Entries[Key];
  Item.Bucket = Bucket;
  Item.Request.MessageCode = coap::Code::Get;
  Item.Request.Path = coap::splitPath(Wire.Path);
  Item.Request.Query = coap::splitQuery(Wire.Query);
  Item.LastAccepted = Item.LastDelivered = Wire.LastDelivered;
  if (Wire.HasSent)
    Item.Sent = SentUpdate{Wire.SentNumber, Wire.SentMessageId};
  registerAtEndpoint(Key, Item, Now, Out);
}

void Subscriptions::dropBucket(base::BucketIndex Bucket) {
  std::vector<SubscriptionKey> Keys;
  for (const auto &[Key, Item] : Entries)
    if (Item.Bucket == Bucket)
      Keys.push_back(Key);
  for (const SubscriptionKey &Key : Keys)
    unsubscribe(Key);
  Frozen.erase(Bucket);
}

void Subscriptions::tick(base::Now Now, Sink &Out) {
  while (const auto Key = Timers.popDue(Now.Monotonic))
    refresh(*Key, Now, Out);
}

} // namespace burdockstream::requests
