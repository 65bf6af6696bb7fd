#include "CoreState.h"
#include "LocalResponses.h"

#include <glog/logging.h>

#include <charconv>

namespace burdockstream::requests {

namespace {

// Least time after which a moved idempotent request without a reply is retried;
// the timeout is four times the expected run time if that is longer.
constexpr base::Duration MinMoveTimeout = std::chrono::seconds(2);

// How long the reply to another agent's request is kept after its not-after
// time. Later copies are refused because the not-after time has passed.
constexpr base::Duration PeerRunRetention =
    std::chrono::milliseconds(RecordGraceMilliseconds);

// Returns the time from Now until a wall-clock time in Unix milliseconds.
base::Duration untilWall(int64_t Milliseconds, base::Now Now) {
  return std::chrono::milliseconds(Milliseconds - Now.Wall.Milliseconds);
}

messages::Bytes encode(const coap::CoapMessage &Message) {
  auto Encoded = coap::serializeMessage(Message);
  CHECK(Encoded.has_value())
      << "cannot serialize message to agent: " << Encoded.error().Message;
  return std::move(Encoded.value());
}

// Returns the deadline of another agent's request in Unix milliseconds: its dl
// item if it has one, limited to 120 s after NotAfter, or else NotAfter. The
// not-after time bounds only the start of the request.
int64_t deadlineOf(const coap::CoapMessage &Request, int64_t NotAfter) {
  const auto Text = coap::queryValue(Request, "dl");
  int64_t Value = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Value).ec !=
          std::errc{})
    return NotAfter;
  constexpr int64_t Longest = 120'000;
  return std::clamp(Value, NotAfter, NotAfter + Longest);
}

} // namespace

bool RequestCore::State::tryMove(WorkItem &Item, base::Duration Wait,
                                 const EventContext &Ctx) {
  if (!Callbacks.ChoosePeer || Item.Origin ||
      Item.MoveAttempts >= Config.MoveAttempts)
    return false;
  const auto Latest = latestStart(Item, Ctx.Now);
  if (!Latest)
    return false;
  const auto Peer =
      Callbacks.ChoosePeer({Item.Class, Item.Idempotent, endpointUsable(Ctx),
                            Wait, Item.Deadline - Ctx.Now.Monotonic});
  if (!Peer || Peer->Value == 0 || *Peer == Config.Self ||
      DeadPeers.contains(*Peer))
    return false;
  if (Item.State == RequestState::Received) {
    count(Counter::Accepted);
    Budget.onAccepted();
  }
  markStarted(Item, *Latest, Ctx.Now);
  Item.MovedTo = *Peer;
  ++Item.MoveAttempts;
  Item.MoveSequence = ++LastMove;
  WorkByMove[Item.MoveSequence] = Item.Id;
  if (Item.Idempotent)
    AttemptDeadlines.set(Item.Id,
                         Ctx.Now.Monotonic +
                             std::max(MinMoveTimeout, 4 * Item.Expected));
  count(Counter::Moved);
  Ctx.Out.emplace_back(SendToPeer{
      *Peer, messages::RunRequest{Config.Self, Item.MoveSequence,
                                  Latest->Milliseconds, Item.Idempotent,
                                  Item.Class == records::WorkClass::Long,
                                  encode(Item.Request)}});
  return true;
}

// Returns whether the policy would start Candidate now, ahead of all queued
// work. Long work that waits for an unreserved slot does not keep short work of
// other agents out of a reserved slot.
bool RequestCore::State::canStartImmediately(const QueuedWork &Candidate,
                                             const EventContext &Ctx) const {
  std::vector<QueuedWork> Entries = Queue.entries();
  Entries.push_back(Candidate);
  return Config.Policy.PickNext(Entries, EndpointSlots.use(),
                                Ctx.Now.Monotonic) == Entries.size() - 1;
}

void RequestCore::State::onRunRequest(const messages::RunRequest &Request,
                                      const EventContext &Ctx) {
  const PeerRunKey Key{Request.From, Request.Sequence};
  const auto [Found, New] = PeerRuns.try_emplace(Key);
  if (!New) { // a copy: repeat the reply, do not run it again
    count(Counter::Duplicate);
    if (Found->second.Reply)
      Ctx.Out.emplace_back(SendToPeer{Request.From, *Found->second.Reply});
    return;
  }
  PeerRunExpiries.set(
      Key, Ctx.Now.Monotonic +
               std::max(base::Duration{0},
                        untilWall(Request.NotAfterMilliseconds, Ctx.Now)) +
               PeerRunRetention);
  const auto Message = coap::parseMessage(Request.Request);
  // A late copy whose PeerRuns entry has expired must not run again.
  const bool Late =
      untilWall(Request.NotAfterMilliseconds, Ctx.Now).count() <= 0;
  if (Message.has_error() || Late || Draining || !endpointUsable(Ctx) ||
      !EndpointSlots.available(Ctx.Now.Monotonic)) {
    replyToPeer(Key, messages::RunOutcome::Refused, {}, Ctx);
    return;
  }
  RunEstimate Estimate = Estimator.estimate(Message.value());
  Estimate.Class =
      Request.LongClass ? records::WorkClass::Long : records::WorkClass::Short;
  const int64_t Deadline =
      deadlineOf(Message.value(), Request.NotAfterMilliseconds);
  const base::TimePoint End = Ctx.Now.Monotonic + untilWall(Deadline, Ctx.Now);
  if (!canStartImmediately({0, Estimate.Class, Ctx.Now.Monotonic, End, {}},
                           Ctx)) {
    replyToPeer(Key, messages::RunOutcome::Refused, {}, Ctx);
    return;
  }
  WorkItem &Item = createWork(0, Message.value(), Estimate, End, Ctx);
  Item.Origin = Key;
  Item.Idempotent = Request.Idempotent;
  Item.NotAfter = {Request.NotAfterMilliseconds};
  if (!start(Item, Ctx))
    finishWithoutResponse(Item, base::Duration{0}, Ctx);
}

void RequestCore::State::replyToPeer(const PeerRunKey &Key,
                                     messages::RunOutcome Outcome,
                                     const coap::CoapMessage &Answer,
                                     const EventContext &Ctx) {
  messages::RunReply Reply{Key.second, Outcome, {}};
  if (Outcome == messages::RunOutcome::Answered)
    Reply.Answer = encode(Answer);
  if (const auto Found = PeerRuns.find(Key); Found != PeerRuns.end())
    Found->second.Reply = Reply;
  Ctx.Out.emplace_back(SendToPeer{Key.first, std::move(Reply)});
}

void RequestCore::State::onRunReply(base::DaemonId From,
                                    const messages::RunReply &Reply,
                                    const EventContext &Ctx) {
  const auto Found = WorkByMove.find(Reply.Sequence);
  if (Found == WorkByMove.end())
    return;
  WorkItem &Item = WorkItems.at(Found->second);
  if (Item.MovedTo != From)
    return;
  if (Reply.Outcome == messages::RunOutcome::Answered) {
    const auto Answer = coap::parseMessage(Reply.Answer);
    if (Answer.has_error()) {
      onAttemptFailed(Item, Ctx);
      return;
    }
    releaseAttempt(Item);
    finish(Item, RequestEvent::Respond, Answer.value(), Ctx);
    return;
  }
  if (Reply.Outcome == messages::RunOutcome::Unknown) {
    onAttemptFailed(Item, Ctx);
    return;
  }
  count(Counter::MoveRefused);
  releaseAttempt(Item);
  if (Item.State != RequestState::Running) {
    removeWorkItem(Item.Id); // deadline passed; its caller was answered
    return;
  }
  // The other agent did not start it.
  Item.MayHaveRun = Item.MayHaveRunBefore;
  advance(Item, RequestEvent::Requeue);
  if (Item.Record)
    if (RequestRecord *Record = Records.find(*Item.Record))
      Record->State = RecordState::Queued;
  admit(Item.Id, true, Ctx);
}

void RequestCore::State::onPeerDead(base::DaemonId Peer,
                                    const EventContext &Ctx) {
  DeadPeers.insert(Peer);
  for (const RecordKey &Key : Records.runningAt(Peer))
    completeRecord(Key, RecordState::Unknown, makeUnknownResponse(), Ctx);
  std::vector<WorkId> Lost;
  for (const auto &[Id, Item] : WorkItems)
    if (Item.MovedTo == Peer)
      Lost.push_back(Id);
  for (const WorkId Id : Lost) {
    count(Counter::MoveLost);
    onAttemptFailed(WorkItems.at(Id), Ctx);
  }
}

void RequestCore::State::onRecordUpdate(const messages::RecordUpdate &Update,
                                        const EventContext &Ctx) {
  if (Update.Service != Service.Id) {
    count(Counter::WrongService);
    return;
  }
  if (const auto Key = Records.import(Update.Bucket, Update.Record, Ctx.Now))
    answerWaiters(*Key, Ctx);
  const auto Info = Buckets.find(Update.Bucket);
  // The bucket was handed over since. Its new owner also has the record as
  // running and needs the update.
  if (Info != Buckets.end() && Info->second.ExportedTo.Value != 0)
    Ctx.Out.emplace_back(SendToPeer{Info->second.ExportedTo, Update});
}

} // namespace burdockstream::requests
