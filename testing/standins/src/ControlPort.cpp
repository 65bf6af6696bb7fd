#include "burdockstream/standins/ControlPort.h"

#include <json/reader.h>
#include <json/writer.h>

namespace burdockstream::standins {

std::string toJsonLine(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

Json::Value commandError(const std::string &Text) {
  Json::Value Answer(Json::objectValue);
  Answer["error"] = Text;
  return Answer;
}

Json::Value executeCommand(const ControlPort::Handler &Execute,
                           std::string_view Text) {
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Command;
  std::string Problem;
  // jsoncpp reports values of the wrong type by exceptions only.
  try {
    if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Command,
                       &Problem) ||
        !Command.isObject())
      return commandError("command is not a JSON object: " + Problem);
    return Execute(Command);
  } catch (const std::exception &Failure) {
    return commandError(Failure.what());
  }
}

base::Result<std::unique_ptr<ControlPort>>
ControlPort::open(GMainContext *Context, base::SocketAddress Local,
                  Handler Execute) {
  auto Socket = network::UdpSocket::open(
      Local,
      {.DatagramBytes = network::EndpointDatagramBytes, .SendQueueLength = 16});
  if (!Socket)
    return Socket.error();
  std::unique_ptr<ControlPort> Port(
      new ControlPort(std::move(Socket.value()), std::move(Execute)));
  ControlPort *Raw = Port.get();
  Port->Socket->attach(
      Context, [Raw](std::span<uint8_t> Request, base::SocketAddress From) {
        Raw->answer(Request, From);
      });
  return Port;
}

ControlPort::ControlPort(std::unique_ptr<network::UdpSocket> InitSocket,
                         Handler InitExecute)
    : Socket(std::move(InitSocket)), Execute(std::move(InitExecute)) {}

void ControlPort::answer(std::span<const uint8_t> Request,
                         base::SocketAddress From) {
  const std::string_view Text(reinterpret_cast<const char *>(Request.data()),
                              Request.size());
  const auto SendLine = [this, From](const Json::Value &Answer) {
    const std::string Line = toJsonLine(Answer) + "\n";
    return Socket->send(
        {reinterpret_cast<const uint8_t *>(Line.data()), Line.size()}, From);
  };
  if (!SendLine(executeCommand(Execute, Text)))
    SendLine(
        commandError("answer exceeds one datagram; request fewer entries"));
}

} // namespace burdockstream::standins
