#include "CoreHarness.h"

namespace burdockstream::requests {

records::ServiceConfig testConfig(uint16_t Slots) {
  records::ServiceConfig Config;
  Config.Service = "shopdesk";
  Config.Id = base::serviceIdOf(Config.Service);
  Config.SlotsPerEndpoint = Slots;
  Config.Classes = {{"/long", records::WorkClass::Long, true, 2s},
                    {"/short", records::WorkClass::Short, true, 100ms}};
  return Config;
}

CoreHarness::CoreHarness(uint16_t Slots, Settings Config) {
  if (Config.Self.Value == 0)
    Config.Self = SelfId;
  Calls.Count = [this](Counter Value) { ++Counts[Value]; };
  Calls.ChoosePeer = [this](const MoveQuery &) { return NextPeer; };
  Core = std::make_unique<RequestCore>(Config, Calls, Random);
  Core->configure(testConfig(Slots));
  Authority.Role = BucketRole::Owner;
  Authority.LeaseEnd = Now.Monotonic + 3600s;
}

CoapMessage CoreHarness::request(Code Method, std::string_view Path,
                                 std::vector<std::string> Query) {
  CoapMessage Message;
  Message.MessageCode = Method;
  Message.MessageId = NextId;
  Message.Token = {static_cast<uint8_t>(NextId >> 8),
                   static_cast<uint8_t>(NextId)};
  ++NextId;
  Message.Path = coap::splitPath(Path);
  Message.Query = std::move(Query);
  return Message;
}

CoapMessage CoreHarness::post(std::string_view RequestId,
                              base::Duration Limit) {
  const int64_t Wall = Now.Wall.Milliseconds;
  return request(Code::Post, "/short",
                 {"rid=" + std::string(RequestId),
                  "iat=" + std::to_string(Wall),
                  "dl=" + std::to_string(Wall + Limit / 1ms)});
}

void CoreHarness::fromCaller(const CoapMessage &Message, uint16_t Caller) {
  messages::Forward Packet;
  Packet.Service = base::serviceIdOf("shopdesk");
  Packet.Caller = callerAddress(Caller);
  Packet.Ingress = {0x0a090001, 7000};
  Packet.Payload = coap::serializeMessage(Message).value();
  Core->onCaller(Packet, Authority, Now, Out);
}

void CoreHarness::fromEndpoint(const CoapMessage &Message) {
  Core->onEndpoint(coap::serializeMessage(Message).value(), Now, Out);
}

void CoreHarness::answer(const CoapMessage &Request, std::string_view Payload,
                         Code Result) {
  CoapMessage Response;
  Response.Type = MessageType::Acknowledgement;
  Response.MessageCode = Result;
  Response.MessageId = Request.MessageId;
  Response.Token = Request.Token;
  Response.Payload = bytes(Payload);
  fromEndpoint(Response);
}

void CoreHarness::advance(base::Duration Time) {
  const base::TimePoint End = Now.Monotonic + Time;
  const auto MoveTo = [this](base::TimePoint Next) {
    // Truncated to milliseconds, so the wall clock lags by less than 1 ms.
    Now.Monotonic = std::max(Now.Monotonic, Next);
    Now.Wall.Milliseconds =
        StartWall + (Now.Monotonic - (base::TimePoint{} + 1000s)) / 1ms;
    Core->tick(Now, Out);
  };
  while (Core->nextDeadline() <= End)
    MoveTo(Core->nextDeadline());
  MoveTo(End);
}

void CoreHarness::setAuthority(messages::BucketAuthority NewAuthority) {
  Authority = NewAuthority;
  Core->setAuthority(0, Authority, Now, Out);
}

std::vector<CoapMessage> CoreHarness::toCaller() {
  std::vector<CoapMessage> Found;
  std::erase_if(Out, [&Found](const Action &Value) {
    const auto *Sent = std::get_if<SendToCaller>(&Value);
    if (Sent != nullptr)
      Found.push_back(coap::parseMessage(Sent->Datagram).value());
    return Sent != nullptr;
  });
  return Found;
}

std::vector<CoapMessage> CoreHarness::toEndpoint() {
  std::vector<CoapMessage> Found;
  std::erase_if(Out, [&Found](const Action &Value) {
    const auto *Sent = std::get_if<SendToEndpoint>(&Value);
    if (Sent != nullptr)
      Found.push_back(coap::parseMessage(Sent->Datagram).value());
    return Sent != nullptr;
  });
  return Found;
}

void CoreHarness::warmUp(int Count) {
  for (int Index = 0; Index < Count; ++Index) {
    fromCaller(request(Code::Get, "/warm"), 999);
    answer(toEndpoint().at(0), "warm");
  }
  toCaller();
}

} // namespace burdockstream::requests
