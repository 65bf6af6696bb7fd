#include "burdockstream/base/SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace burdockstream::base {

namespace {

Error badAddress(std::string_view Text) {
  return makeError(ErrorKind::InvalidArgument,
                   "'" + std::string(Text) +
                       "' is not an address; write an IPv4 number and a port, "
                       "as in 10.0.0.1:5683");
}

} // namespace

Result<SocketAddress> parseSocketAddress(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return badAddress(Text);
  const std::string Ip(Text.substr(0, Colon));
  const std::string_view PortText = Text.substr(Colon + 1);
  in_addr Parsed{};
  if (inet_pton(AF_INET, Ip.c_str(), &Parsed) != 1)
    return badAddress(Text);
  uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  const auto Outcome = std::from_chars(PortText.data(), End, Port);
  if (Outcome.ec != std::errc() || Outcome.ptr != End || Port == 0)
    return badAddress(Text);
  return SocketAddress{ntohl(Parsed.s_addr), Port};
}

std::string toString(SocketAddress Address) {
  std::string Text;
  for (int Shift = 24; Shift >= 0; Shift -= 8) {
    Text += std::to_string((Address.Ip >> Shift) & 0xff);
    Text += Shift > 0 ? '.' : ':';
  }
  return Text + std::to_string(Address.Port);
}

} // namespace burdockstream::base
