#include "burdockstream/flows/Frame.h"

#include "burdockstream/base/LittleEndian.h"
#include "burdockstream/base/NameTable.h"
#include "burdockstream/messages/Pack.h"

#include <cstring>
#include <msgpack.hpp>

namespace burdockstream::flows {

namespace {

constexpr base::NameTable<ReturnReason, 9> ReasonNames({{
    {ReturnReason::None, "none"},
    {ReturnReason::Refused, "refused_by_target"},
    {ReturnReason::NotHeld, "not_held"},
    {ReturnReason::NotReady, "target_not_ready"},
    {ReturnReason::OtherService, "other_service"},
    {ReturnReason::OldRoutes, "old_routes"},
    {ReturnReason::TargetStopped, "target_stopped"},
    {ReturnReason::Busy, "target_busy"},
    {ReturnReason::Evacuated, "evacuated"},
}});

constexpr base::NameTable<TargetState, 6> StateNames({{
    {TargetState::Unknown, "unknown"},
    {TargetState::Ready, "ready"},
    {TargetState::Draining, "draining"},
    {TargetState::Silent, "silent"},
    {TargetState::Stopped, "stopped"},
    {TargetState::Leaving, "leaving"},
}});

// Length of the fixed part of a hello: control address and EntryMissing. The
// failure domain follows.
constexpr size_t HelloBytes = 9;

// Wire layout of a status: a msgpack array, so the order of the fields is
// fixed.
using StatusFields =
    std::tuple<uint64_t, uint64_t, base::ServiceId, std::string, uint8_t,
               uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, int64_t,
               base::SocketAddress, base::Revision, bool, uint32_t, uint32_t,
               uint32_t, uint32_t>;

// Wire layout of a policy, in the same way.
using PolicyFields = std::tuple<std::string, base::Revision, bool, uint32_t>;

template <typename FieldsT> std::vector<uint8_t> packFields(FieldsT Fields) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Fields);
  return {Buffer.data(), Buffer.data() + Buffer.size()};
}

// Decodes a msgpack array. Fields that an older sender does not know keep their
// defaults, and those that this build does not know are ignored.
template <typename FieldsT>
std::optional<FieldsT> unpackFields(std::span<const uint8_t> Body) {
  // msgpack throws on malformed input.
  try {
    const auto Handle = msgpack::unpack(
        reinterpret_cast<const char *>(Body.data()), Body.size());
    return Handle.get().as<FieldsT>();
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

constexpr unsigned AddressBits = 48;

uint64_t packIdleTimeout(base::Duration Timeout) {
  return static_cast<uint64_t>(std::clamp<int64_t>(
      std::chrono::ceil<std::chrono::seconds>(Timeout).count(), 0, UINT16_MAX));
}

} // namespace

std::string_view toString(ReturnReason Reason) {
  return ReasonNames.name(Reason);
}

std::string_view toString(TargetState State) { return StateNames.name(State); }

size_t writeHeader(const FrameHeader &Header, std::span<uint8_t> Out) {
  Out[0] = static_cast<uint8_t>(Header.Kind);
  Out[1] = static_cast<uint8_t>(Header.Reason);
  Out[2] = Header.WorkClass;
  Out[3] = Header.Time ? FrameTimeBytes : 0;
  base::writeLittleEndian(Out, 4, Header.Service.Value);
  base::writeLittleEndian(Out, 12, Header.Routes);
  if (!Header.Time)
    return FrameHeaderBytes;
  Out[FrameHeaderBytes] = packTime(Header.Time->ToLatencyTarget);
  Out[FrameHeaderBytes + 1] = packTime(Header.Time->ToTimeLimit);
  return MaxFrameHeaderBytes;
}

std::optional<Frame> readFrame(std::span<uint8_t> Datagram) {
  if (Datagram.size() < FrameHeaderBytes ||
      Datagram[0] < static_cast<uint8_t>(FrameKind::Forward) ||
      Datagram[0] > static_cast<uint8_t>(FrameKind::Policy) ||
      Datagram[1] > static_cast<uint8_t>(ReturnReason::Evacuated) ||
      (Datagram[3] != 0 && Datagram[3] != FrameTimeBytes) ||
      Datagram.size() < FrameHeaderBytes + Datagram[3])
    return std::nullopt;
  Frame Result;
  Result.Header.Kind = static_cast<FrameKind>(Datagram[0]);
  Result.Header.Reason = static_cast<ReturnReason>(Datagram[1]);
  Result.Header.WorkClass = Datagram[2];
  Result.Header.Service.Value = base::readLittleEndian<uint64_t>(Datagram, 4);
  Result.Header.Routes = base::readLittleEndian<base::Revision>(Datagram, 12);
  if (Datagram[3] != 0)
    Result.Header.Time = {unpackTime(Datagram[FrameHeaderBytes]),
                          unpackTime(Datagram[FrameHeaderBytes + 1])};
  Result.Body = Datagram.subspan(FrameHeaderBytes + Datagram[3]);
  return Result;
}

std::vector<uint8_t> packHello(const Hello &Hello) {
  std::vector<uint8_t> Body(HelloBytes + Hello.FailureDomain.size());
  // An address takes 48 bits.
  base::writeLittleEndian(Body, 0,
                          base::packAddress(Hello.Control) |
                              packIdleTimeout(Hello.IdleTimeout)
                                  << AddressBits);
  Body[8] = Hello.EntryMissing ? 1 : 0;
  std::copy(Hello.FailureDomain.begin(), Hello.FailureDomain.end(),
            Body.begin() + HelloBytes);
  return Body;
}

std::optional<Hello> unpackHello(std::span<const uint8_t> Body) {
  if (Body.size() < HelloBytes)
    return std::nullopt;
  const uint64_t Packed = base::readLittleEndian<uint64_t>(Body, 0);
  return Hello{
      {static_cast<uint32_t>(Packed >> 16), static_cast<uint16_t>(Packed)},
      Body[8] != 0,
      {Body.begin() + HelloBytes, Body.end()},
      std::chrono::seconds(Packed >> AddressBits)};
}

std::vector<uint8_t> packStatus(const TargetStatus &Status) {
  return packFields(StatusFields(
      Status.Incarnation, Status.Sequence, Status.Service, Status.FailureDomain,
      static_cast<uint8_t>(Status.State), Status.Slots, Status.Waiting,
      Status.Flows, Status.WarmupMs, Status.ServiceTimeUs, Status.NewestRoutes,
      Status.NewestRoutesAt, Status.Evacuation.Revision,
      Status.Evacuation.Evacuated, Status.EjectedMs,
      Status.WarmupFlowsPerSecond, Status.SlotTimeUs, Status.HeldOpenings));
}

std::optional<TargetStatus> unpackStatus(std::span<const uint8_t> Body) {
  const auto Fields = unpackFields<StatusFields>(Body);
  if (!Fields)
    return std::nullopt;
  const uint8_t State = std::get<4>(*Fields);
  if (State > static_cast<uint8_t>(TargetState::Leaving))
    return std::nullopt;
  return TargetStatus{std::get<0>(*Fields),
                      std::get<1>(*Fields),
                      std::get<2>(*Fields),
                      std::get<3>(*Fields),
                      static_cast<TargetState>(State),
                      std::get<5>(*Fields),
                      std::get<6>(*Fields),
                      std::get<7>(*Fields),
                      std::get<8>(*Fields),
                      std::get<9>(*Fields),
                      std::get<10>(*Fields),
                      std::get<11>(*Fields),
                      {std::get<12>(*Fields), std::get<13>(*Fields)},
                      std::get<14>(*Fields),
                      std::get<15>(*Fields),
                      std::get<16>(*Fields),
                      std::get<17>(*Fields)};
}

std::vector<uint8_t> packPolicy(const TargetPolicy &Policy) {
  return packFields(
      PolicyFields(Policy.FailureDomain, Policy.Evacuation.Revision,
                   Policy.Evacuation.Evacuated, Policy.WarmupFlowsPerSecond));
}

std::optional<TargetPolicy> unpackPolicy(std::span<const uint8_t> Body) {
  const auto Fields = unpackFields<PolicyFields>(Body);
  if (!Fields)
    return std::nullopt;
  return TargetPolicy{std::get<0>(*Fields),
                      {std::get<1>(*Fields), std::get<2>(*Fields)},
                      std::get<3>(*Fields)};
}

} // namespace burdockstream::flows
