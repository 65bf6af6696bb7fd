#include "burdockstream/requests/Actions.h"

#include "burdockstream/coap/CoapMessage.h"

#include <array>
#include <sstream>

namespace burdockstream::requests {

namespace {

constexpr size_t ShownPayload = 32;

std::string hex(const messages::Bytes &Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (const uint8_t Byte : Bytes) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  return Text;
}

// Shows short printable payloads as text, others as their size.
std::string payloadText(const messages::Bytes &Payload) {
  bool Printable = Payload.size() <= ShownPayload;
  for (const uint8_t Byte : Payload)
    Printable = Printable && Byte >= 0x20 && Byte < 0x7f;
  if (!Printable)
    return std::to_string(Payload.size()) + " bytes";
  return "\"" + std::string(Payload.begin(), Payload.end()) + "\"";
}

std::string peerText(const messages::Forward &Value) {
  return "Forward bucket=" + std::to_string(Value.Bucket) +
         " caller=" + base::toString(Value.Caller) +
         " hops=" + std::to_string(Value.Hops) + ": " +
         describeDatagram(Value.Payload);
}

std::string peerText(const messages::RunRequest &Value) {
  return "RunRequest sequence=" + std::to_string(Value.Sequence) +
         " not-after=" + std::to_string(Value.NotAfterMilliseconds) + ": " +
         describeDatagram(Value.Request);
}

std::string peerText(const messages::RunReply &Value) {
  static constexpr std::array<std::string_view, 3> Outcomes = {
      "refused", "answered", "unknown"};
  return "RunReply sequence=" + std::to_string(Value.Sequence) + " " +
         std::string(Outcomes[static_cast<size_t>(Value.Outcome)]) +
         (Value.Answer.empty() ? "" : ": " + describeDatagram(Value.Answer));
}

std::string peerText(const messages::RecordUpdate &Value) {
  static constexpr std::array<std::string_view, 3> States = {
      "running", "answered", "unknown"};
  return "RecordUpdate bucket=" + std::to_string(Value.Bucket) +
         " caller=" + base::toString(Value.Record.Caller) +
         " rid=" + Value.Record.RequestId + " " +
         std::string(States[static_cast<size_t>(Value.Record.State)]);
}

std::string peerText(const auto &) { return "other message"; }

struct Describe {
  std::string operator()(const SendToCaller &Value) const {
    return "to caller " + base::toString(Value.Caller) + " via " +
           base::toString(Value.Ingress) + ": " +
           describeDatagram(Value.Datagram);
  }
  std::string operator()(const SendToEndpoint &Value) const {
    return "to endpoint: " + describeDatagram(Value.Datagram);
  }
  std::string operator()(const SendToPeer &Value) const {
    return "to agent " + base::toString(Value.Peer) + ": " +
           std::visit([](const auto &Content) { return peerText(Content); },
                      Value.Content);
  }
};

} // namespace

std::string describeDatagram(const messages::Bytes &Datagram) {
  static constexpr std::array<std::string_view, 4> Types = {"CON", "NON", "ACK",
                                                            "RST"};
  const auto Parsed = coap::parseMessage(Datagram);
  if (Parsed.has_error())
    return "malformed " + std::to_string(Datagram.size()) + " bytes";
  const coap::CoapMessage &Message = Parsed.value();
  std::ostringstream Text;
  Text << Types[static_cast<size_t>(Message.Type)] << ' '
       << coap::toString(Message.MessageCode) << " mid=" << Message.MessageId;
  if (!Message.Token.empty())
    Text << " token=" << hex(Message.Token);
  if (!Message.Path.empty())
    Text << ' ' << coap::joinPath(Message.Path);
  if (!Message.Query.empty())
    Text << '?' << coap::joinQuery(Message.Query);
  if (Message.Observe)
    Text << " observe=" << *Message.Observe;
  if (Message.Block2)
    Text << " block2=" << Message.Block2->Number << '/' << Message.Block2->More
         << '/' << (1U << (Message.Block2->SizeExponent + 4));
  if (!Message.ETag.empty())
    Text << " etag=" << hex(Message.ETag);
  if (Message.MaxAgeSeconds)
    Text << " max-age=" << *Message.MaxAgeSeconds;
  if (Message.NotAfter)
    Text << " not-after=" << Message.NotAfter->Milliseconds;
  if (!Message.Payload.empty())
    Text << ' ' << payloadText(Message.Payload);
  return Text.str();
}

std::string describe(const Action &Value) {
  return std::visit(Describe{}, Value);
}

} // namespace burdockstream::requests
