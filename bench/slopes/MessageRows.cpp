#include "Row.h"

#include "AllocationCount.h"

#include "burdockstream/messages/MessageCodec.h"

#include <glog/logging.h>

namespace burdockstream::bench {

namespace {

constexpr uint64_t Iterations = 100000;
const messages::MessageKeys Keys{{1, {1, 2, 3}}, {}};

messages::MemberInfo makeMember() {
  messages::MemberInfo Info;
  Info.Id = {0x8123456789abcdef};
  Info.Version = 1000000;
  Info.State = messages::MemberState::Ready;
  Info.Service = base::serviceIdOf("shopdesk");
  Info.Data = {0x0a000001, 7000};
  Info.Control = {0x0a000001, 7001};
  Info.FailureDomain = "bc-kam";
  Info.Slots = 2;
  Info.LoadPercent = 50;
  return Info;
}

void addMessageRow(const char *Name, const messages::Message &Body, Rows &Out) {
  messages::MessageCodec Sender(base::DaemonId{1}, Keys);
  messages::MessageCodec Receiver(base::DaemonId{2}, Keys);
  const double Time = cpuMicroseconds(Iterations, [&] {
    CHECK(Receiver.decode(Sender.encode(Body)).has_value());
  });
  const double Size = static_cast<double>(Sender.encode(Body).size());
  Out.push_back({std::string("encode and decode ") + Name,
                 "us CPU",
                 "datagram bytes",
                 {{Size, Time}}});
}

} // namespace

void addMessageRows(Rows &Out) {
  addMessageRow("Announce",
                messages::Announce{makeMember(), 1000000, 1700000000000}, Out);
  addMessageRow("Probe", messages::Probe{1000000, makeMember()}, Out);
  addMessageRow("LeaseRequest",
                messages::LeaseRequest{makeMember().Id, makeMember().Service,
                                       1000000, 0x8123456789abcdef},
                Out);
}

} // namespace burdockstream::bench
