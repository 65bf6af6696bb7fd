#include "Row.h"

#include "AllocationCount.h"

#include "burdockstream/membership/MemberTable.h"
#include "burdockstream/membership/RecordTable.h"
#include "burdockstream/routing/Router.h"

namespace burdockstream::bench {

namespace {

constexpr size_t RecordBytes = 600;
constexpr size_t EndpointsPerService = 5;

messages::MemberInfo makeMember(uint64_t Number, base::ServiceId Service) {
  messages::MemberInfo Info;
  Info.Id = {0x9e3779b97f4a7c15 * (Number + 1)};
  Info.Version = 1;
  Info.State = messages::MemberState::Ready;
  Info.Service = Service;
  Info.Data = {0x0a000001U + static_cast<uint32_t>(Number), 7000};
  Info.Control = {Info.Data.Ip, 7001};
  Info.FailureDomain = "bern-nord";
  Info.Slots = 2;
  return Info;
}

void addMemberTableRow(Rows &Out) {
  Row Memory{"balancer memory: member table", "bytes", "members", {}};
  for (const uint64_t Members : {uint64_t{1000}, uint64_t{17000}}) {
    const int64_t Before = allocatedBytes();
    membership::MemberTable Table;
    for (uint64_t I = 0; I < Members; ++I)
      Table.merge(makeMember(I, {I / EndpointsPerService + 1}), {});
    Memory.Points.emplace_back(static_cast<double>(Members),
                               static_cast<double>(allocatedBytes() - Before));
  }
  Out.push_back(Memory);
}

void addRecordTableRow(Rows &Out) {
  Row Memory{"balancer memory: records of 600 bytes", "bytes", "records", {}};
  for (const size_t Records : {size_t{100}, size_t{3300}}) {
    const int64_t Before = allocatedBytes();
    membership::RecordTable Table;
    for (size_t I = 0; I < Records; ++I)
      Table.merge(
          {"service-" + std::to_string(I), 1, std::string(RecordBytes, 'r')});
    Memory.Points.emplace_back(static_cast<double>(Records),
                               static_cast<double>(allocatedBytes() - Before));
  }
  Out.push_back(Memory);
}

void addRouterRows(Rows &Out) {
  Row Memory{
      "balancer memory: router, 5 endpoints each", "bytes", "services", {}};
  Row Change{
      "Router::setMembers after one state change", "us CPU", "services", {}};
  for (const size_t Services : {size_t{100}, size_t{3300}}) {
    const int64_t Before = allocatedBytes();
    routing::Router Router(7);
    std::vector<messages::MemberInfo> Members;
    for (size_t I = 0; I < Services; ++I) {
      records::ServiceConfig Config;
      Config.Service = "service-" + std::to_string(I);
      Config.Id = base::serviceIdOf(Config.Service);
      Config.Address = {0x0a640001U + static_cast<uint32_t>(I), 5683};
      Config.StoreRevision = 1;
      Router.setConfig(Config);
      Members.clear();
      for (size_t J = 0; J < EndpointsPerService; ++J)
        Members.push_back(makeMember(I * EndpointsPerService + J, Config.Id));
      Router.setMembers(Config.Id, Members);
    }
    Memory.Points.emplace_back(static_cast<double>(Services),
                               static_cast<double>(allocatedBytes() - Before));
    bool Draining = false;
    const double Time = cpuMicroseconds(200, [&] {
      Draining = !Draining;
      Members[0].State = Draining ? messages::MemberState::Draining
                                  : messages::MemberState::Ready;
      Router.setMembers(Members[0].Service, Members);
    });
    Change.Points.emplace_back(static_cast<double>(Services), Time);
  }
  Out.insert(Out.end(), {Memory, Change});
}

} // namespace

void addBalancerRows(Rows &Out) {
  addMemberTableRow(Out);
  addRecordTableRow(Out);
  addRouterRows(Out);
}

} // namespace burdockstream::bench
