#include "RandomMessages.h"

#include <array>
#include <concepts>

namespace burdockstream::messages::testing {

namespace {

using Source = base::RandomSource;

template <std::integral T> void fill(Source &S, T &Value) {
  // Random bit widths cover every integer encoding of msgpack.
  Value = static_cast<T>(S() >> base::randomBelow(S, 64));
}
void fill(Source &S, bool &Value) { Value = S() % 2 == 0; }
void fill(Source &S, base::DaemonId &Id) { fill(S, Id.Value); }
void fill(Source &S, base::ServiceId &Id) { fill(S, Id.Value); }
void fill(Source &S, base::SocketAddress &Address) {
  fill(S, Address.Ip);
  fill(S, Address.Port);
}
void fill(Source &S, Role &Value) { Value = static_cast<Role>(S() % 2); }
void fill(Source &S, MemberState &Value) {
  Value = static_cast<MemberState>(S() % 6);
}
void fill(Source &S, RunState &Value) {
  Value = static_cast<RunState>(S() % 3);
}
void fill(Source &S, RunOutcome &Value) {
  Value = static_cast<RunOutcome>(S() % 3);
}
void fill(Source &S, std::string &Text) {
  Text.resize(base::randomBelow(S, 40));
  for (char &C : Text)
    C = static_cast<char>(S());
}

template <typename T> void fill(Source &S, std::vector<T> &List);
void fill(Source &S, MemberInfo &M);
void fill(Source &S, RecordEntry &M);
void fill(Source &S, RequestRecord &M);
void fill(Source &S, Subscription &M);
void fill(Source &S, BucketSnapshot &M);
void fill(Source &S, BucketOwner &M);

template <typename... Ts> void fillAll(Source &S, Ts &...Fields) {
  (fill(S, Fields), ...);
}

template <typename T> void fill(Source &S, std::vector<T> &List) {
  List.resize(base::randomBelow(S, sizeof(T) == 1 ? 300 : 5));
  for (T &Element : List)
    fill(S, Element);
}

void fill(Source &S, MemberInfo &M) {
  fillAll(S, M.Id, M.Version, M.Kind, M.State, M.Service, M.Data, M.Control,
          M.FailureDomain, M.Slots, M.LoadPercent);
}
void fill(Source &S, RecordEntry &M) {
  fillAll(S, M.Service, M.StoreRevision, M.Body);
}
void fill(Source &S, RequestRecord &M) {
  fillAll(S, M.Caller, M.RequestId, M.IssuedMilliseconds,
          M.DeadlineMilliseconds, M.State, M.Runner, M.Answer);
}
void fill(Source &S, Subscription &M) {
  fillAll(S, M.Caller, M.Token, M.Path, M.Query, M.LastDelivered);
}
void fill(Source &S, BucketSnapshot &M) {
  fillAll(S, M.Service, M.Bucket, M.OwnerEpoch, M.Requests, M.Subscriptions);
}
void fill(Source &S, BucketOwner &M) {
  fillAll(S, M.Bucket, M.Owner, M.OwnerEpoch);
}
void fill(Source &S, Forward &M) {
  fillAll(S, M.Service, M.Bucket, M.Caller, M.Ingress, M.Hops, M.Payload);
}
void fill(Source &S, Reply &M) {
  fillAll(S, M.Caller, M.ServiceAddress, M.Payload);
}
void fill(Source &S, Announce &M) {
  fillAll(S, M.Self, M.KnownRecordRevision, M.WallMilliseconds);
}
void fill(Source &S, AnnounceAck &M) {
  fillAll(S, M.EchoedWallMilliseconds, M.WallMilliseconds, M.ServiceMembers,
          M.Balancers, M.Records);
}
void fill(Source &S, Probe &M) { fillAll(S, M.Sequence, M.Self); }
void fill(Source &S, ProbeAck &M) { fillAll(S, M.Sequence, M.Self); }
void fill(Source &S, IndirectProbe &M) { fillAll(S, M.Sequence, M.Target); }
void fill(Source &S, Rumor &M) { fillAll(S, M.Members, M.Records); }
void fill(Source &S, Digest &M) { fillAll(S, M.MemberGroups, M.RecordGroups); }
void fill(Source &S, DigestDiff &M) {
  fillAll(S, M.MemberGroups, M.RecordGroups, M.Members, M.Records, M.WantReply);
}
void fill(Source &S, LeaseRequest &M) {
  fillAll(S, M.Agent, M.Service, M.Sequence, M.ArbiterListHash);
}
void fill(Source &S, LeaseGrant &M) {
  fillAll(S, M.Agent, M.Arbiter, M.Sequence, M.Granted);
}
void fill(Source &S, FenceRequest &M) {
  fillAll(S, M.Claimant, M.Target, M.Service, M.Sequence, M.ArbiterListHash);
}
void fill(Source &S, FenceConsent &M) {
  fillAll(S, M.Target, M.Arbiter, M.Sequence, M.Consented);
}
void fill(Source &S, BucketTransfer &M) { fillAll(S, M.From, M.To, M.Buckets); }
void fill(Source &S, BucketTransferAck &M) { fillAll(S, M.From, M.Buckets); }
void fill(Source &S, RecordUpdate &M) {
  fillAll(S, M.Service, M.Bucket, M.Record);
}
void fill(Source &S, RunRequest &M) {
  fillAll(S, M.From, M.Sequence, M.NotAfterMilliseconds, M.Idempotent,
          M.LongClass, M.Request);
}
void fill(Source &S, RunReply &M) {
  fillAll(S, M.Sequence, M.Outcome, M.Answer);
}
void fill(Source &S, OwnershipUpdate &M) {
  fillAll(S, M.Service, M.StoreRevision, M.Buckets);
}

using Maker = Message (*)(Source &);

template <typename T> Message makeMessage(Source &S) {
  T Body;
  fill(S, Body);
  return Body;
}

template <size_t... Types>
Message makeMessageOfType(Source &S, size_t Type,
                          std::index_sequence<Types...>) {
  static constexpr std::array<Maker, sizeof...(Types)> Makers{
      &makeMessage<std::variant_alternative_t<Types, Message>>...};
  return Makers.at(Type)(S);
}

} // namespace

Message randomMessage(base::RandomSource &Source, size_t Type) {
  return makeMessageOfType(
      Source, Type, std::make_index_sequence<std::variant_size_v<Message>>());
}

} // namespace burdockstream::messages::testing
