#include "burdockstream/standins/BoardServer.h"

#include "burdockstream/standins/ExpectedBodies.h"

namespace burdockstream::standins {

BoardServer::BoardServer(std::string InitService, ReliableSender &InitSender)
    : Service(std::move(InitService)), Sender(InitSender) {}

uint32_t BoardServer::latest(const std::string &Board) const {
  const auto Found = Boards.find(Board);
  return Found == Boards.end() || Found->second.empty()
             ? 0
             : *Found->second.rbegin();
}

uint32_t BoardServer::publish(const std::string &Board, uint32_t Number) {
  if (Number == 0)
    Number = latest(Board) + 1;
  Boards[Board].insert(Number);
  std::vector<ObserverKey> Keys;
  for (const auto &[Key, State] : Observers)
    if (State.Board == Board)
      Keys.push_back(Key);
  for (const ObserverKey &Key : Keys)
    sendNext(Key);
  return Number;
}

uint32_t BoardServer::observe(const ObserverKey &Key, const std::string &Board,
                              std::optional<uint32_t> Since) {
  stop(Key);
  ++Counters.Registered;
  uint32_t Number = latest(Board);
  if (Since && *Since < Number)
    Number = *Boards[Board].upper_bound(*Since);
  Observers.emplace(Key, Observer{Board, Number, std::nullopt});
  return Number;
}

void BoardServer::resume(const ObserverKey &Key) { sendNext(Key); }

void BoardServer::stop(const ObserverKey &Key) {
  const auto Found = Observers.find(Key);
  if (Found == Observers.end())
    return;
  if (Found->second.InFlight)
    Sender.cancel(Key.first, *Found->second.InFlight);
  Observers.erase(Found);
}

void BoardServer::sendNext(const ObserverKey &Key) {
  const auto Found = Observers.find(Key);
  if (Found == Observers.end() || Found->second.InFlight)
    return;
  Observer &State = Found->second;
  const std::set<uint32_t> &Numbers = Boards[State.Board];
  const auto Next = Numbers.upper_bound(State.LastSent);
  if (Next == Numbers.end())
    return;
  State.LastSent = *Next;
  coap::CoapMessage Update;
  Update.MessageCode = coap::Code::Content;
  Update.Token = Key.second;
  Update.Observe = *Next;
  const std::string Body = boardBody(Service, State.Board, *Next);
  Update.Payload.assign(Body.begin(), Body.end());
  ++Counters.Notified;
  State.InFlight = Sender.send(
      std::move(Update), Key.first,
      [this, Key](DeliveryResult Outcome) { handleDelivery(Key, Outcome); });
}

void BoardServer::handleDelivery(const ObserverKey &Key,
                                 DeliveryResult Outcome) {
  const auto Found = Observers.find(Key);
  if (Found == Observers.end())
    return;
  Found->second.InFlight.reset();
  if (Outcome == DeliveryResult::Acknowledged) {
    sendNext(Key);
    return;
  }
  ++Counters.Dropped;
  Observers.erase(Found);
}

} // namespace burdockstream::standins
