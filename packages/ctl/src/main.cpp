// burdockstreamctl, the operators' command line tool: runs one command through
// the administration API of a balancer.
#include "burdockstream/ctl/Connection.h"

#include "burdockstream/base/JsonText.h"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

namespace {

using namespace burdockstream;

// Removes surrounding whitespace: a token file usually ends with a line break,
// which is not part of the token.
std::string trim(const std::string &Text) {
  constexpr const char *Whitespace = " \t\r\n";
  const size_t First = Text.find_first_not_of(Whitespace);
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

ctl::Output run(const ctl::Command &Command) {
  ctl::ConnectionSettings Settings;
  Settings.Servers = Command.Servers;
  Settings.Timeout = Command.Timeout;
  if (!Command.TokenFile.empty()) {
    const auto Token = base::readTextFile(Command.TokenFile);
    if (Token.has_error())
      return ctl::errorOutput(Token.error());
    Settings.Token = trim(Token.value());
  }
  ctl::Connection Conn(std::move(Settings));
  return ctl::runCommand(Command, ctl::makeHooks(Conn));
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetVersionString(BURDOCKSTREAM_VERSION);
  FLAGS_logtostderr = true; // do not write log files
  google::InitGoogleLogging(argv[0]);
  const auto Command = ctl::parseCommandLine(argc, argv);
  if (Command.has_error()) {
    std::cerr << Command.error().Message << "\n";
    return static_cast<int>(ctl::ExitCode::Usage);
  }
  const ctl::Output Result = run(Command.value());
  std::cout << Result.Out;
  std::cerr << Result.Err;
  return static_cast<int>(Result.Code);
}
