#include "Row.h"

#include "AllocationCount.h"

#include "burdockstream/messages/MessageBody.h"
#include "burdockstream/messages/MessageCodec.h"
#include "burdockstream/ownership/Arbiter.h"
#include "burdockstream/ownership/OwnersRecord.h"

#include <glog/logging.h>

namespace burdockstream::bench {

namespace {

constexpr uint64_t GrantCount = 100000;
constexpr size_t SubscriptionsPerBucket = 10;
constexpr base::TimePoint StartTime{std::chrono::hours(1)};
// An arbiter does not answer for ArbiterRestartDelay after its start.
constexpr base::TimePoint ReadyTime =
    StartTime + ownership::ArbiterRestartDelay;

std::vector<base::SocketAddress> balancerAddresses() {
  std::vector<base::SocketAddress> Result;
  for (uint16_t I = 0; I < ownership::MaxArbiters; ++I)
    Result.push_back({0x0a000001U + I, 7000});
  return Result;
}

messages::LeaseRequest makeLeaseRequest(uint64_t Agent) {
  const base::ServiceId Service{1};
  return {{0x8000000000000000 + Agent},
          Service,
          1000000,
          ownership::selectArbiters(balancerAddresses(), Service).Hash};
}

void addArbiterRows(Rows &Out) {
  Row Memory{"arbiter memory", "bytes", "agents", {}};
  for (const uint64_t Agents : {uint64_t{1000}, uint64_t{10000}}) {
    ownership::Arbiter Arbiter(balancerAddresses().front(), balancerAddresses(),
                               StartTime);
    const messages::LeaseRequest First = makeLeaseRequest(0);
    const int64_t Before = allocatedBytes();
    for (uint64_t I = 0; I < Agents; ++I) {
      messages::LeaseRequest Request = First;
      Request.Agent.Value += I;
      CHECK(Arbiter.handle(Request, {ReadyTime, {}}));
    }
    Memory.Points.emplace_back(static_cast<double>(Agents),
                               static_cast<double>(allocatedBytes() - Before));
  }
  ownership::Arbiter Arbiter(balancerAddresses().front(), balancerAddresses(),
                             StartTime);
  messages::MessageCodec Agent(base::DaemonId{1}, {{1, {1}}, {}});
  messages::MessageCodec Balancer(base::DaemonId{2}, {{1, {1}}, {}});
  const messages::LeaseRequest Request = makeLeaseRequest(0);
  const auto Grant = Arbiter.handle(Request, {ReadyTime, {}});
  CHECK(Grant);
  const double Bytes = static_cast<double>(Agent.encode(Request).size() +
                                           Balancer.encode(*Grant).size());
  std::vector<messages::Bytes> Datagrams;
  for (uint64_t I = 0; I < GrantCount; ++I)
    Datagrams.push_back(Agent.encode(Request));
  size_t Next = 0;
  const double Time = cpuMicroseconds(GrantCount, [&] {
    const auto Received = Balancer.decode(Datagrams[Next++]);
    const auto Response =
        Arbiter.handle(std::get<messages::LeaseRequest>(Received.value().Body),
                       {ReadyTime, {}});
    CHECK(!Balancer.encode(*Response).empty());
  });
  Out.push_back(Memory);
  Out.push_back(
      {"arbiter: request and grant", "bytes", "grants", {{1, Bytes}}});
  Out.push_back(
      {"arbiter: decode, decide, encode", "us CPU", "grants", {{1, Time}}});
}

void addOwnersRecordRow(Rows &Out) {
  Row Size{"owners record, 256 buckets", "bytes", "owners", {}};
  for (const size_t Owners : {1U, 5U, 15U, 100U}) {
    ownership::OwnersRecord Record;
    Record.Nonce = 0x8123456789abcdef;
    for (size_t I = 0; I < Owners; ++I)
      Record.setOwner({{0x8123456789abcdef + I}, 1000, 0x8123456789abcdef});
    for (size_t I = 0; I < 256; ++I)
      Record.Buckets.push_back({Record.Owners[I % Owners].Id, 1000});
    Size.Points.emplace_back(
        static_cast<double>(Owners),
        static_cast<double>(ownership::encodeOwnersRecord(Record).size()));
  }
  Out.push_back(Size);
}

void addHandoverRow(Rows &Out) {
  Row Size{"handover of a bucket, 10 subscriptions",
           "bytes",
           "request records of 100 bytes of answer",
           {}};
  for (const size_t Records : {0U, 10U, 100U}) {
    messages::BucketSnapshot Bucket;
    Bucket.Service = {0x8123456789abcdef};
    Bucket.Bucket = 200;
    Bucket.OwnerEpoch = 1000;
    Bucket.UnknownBeforeMilliseconds = 1700000000000;
    Bucket.UnknownFromMilliseconds = 1700000000000;
    Bucket.Requests.assign(Records, {{0x0a000001, 40000},
                                     std::string(16, 'r'),
                                     1700000000000,
                                     1700000030000,
                                     messages::RunState::Answered,
                                     {0x8123456789abcdef},
                                     messages::Bytes(100, 1)});
    Bucket.Subscriptions.assign(SubscriptionsPerBucket, {{0x0a000001, 40000},
                                                         messages::Bytes(8, 1),
                                                         "/boards/tickets",
                                                         "team=desk",
                                                         100000});
    const messages::BucketTransfer Transfer{
        {0x8123456789abcdef}, {0x8123456789abcdee}, {Bucket}};
    Size.Points.emplace_back(
        static_cast<double>(Records),
        static_cast<double>(messages::packBody(Transfer).size()));
  }
  Out.push_back(Size);
}

} // namespace

void addOwnershipRows(Rows &Out) {
  addArbiterRows(Out);
  addOwnersRecordRow(Out);
  addHandoverRow(Out);
}

} // namespace burdockstream::bench
