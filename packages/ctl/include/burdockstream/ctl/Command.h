// The command line of burdockstreamctl as plain data.
#ifndef BURDOCKSTREAM_CTL_COMMAND_H
#define BURDOCKSTREAM_CTL_COMMAND_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/ctl/Table.h"

#include <optional>
#include <string>
#include <vector>

namespace burdockstream::ctl {

enum class Verb {
  RecordPut,
  RecordGet,
  RecordList,
  RecordRetire,
  RecordValidate,
  RecordMigrate,
  Status,
  Endpoints,
  Drain,
  Metrics,
  FlowStatus,
  FlowRoutes,
  FlowTargets,
  FlowTrace,
};

// The flags as gflags parsed them.
struct FlagValues {
  bool Json = false;
  std::string Server; // ip:port,...
  std::string TokenFile;
  int64_t IfRevision = -1;
  int32_t TimeoutMilliseconds = 8'000;
  bool Wait = false;
  int32_t WaitTimeoutMilliseconds = 10'000;
  bool Undo = false;
};

struct Command {
  ctl::Verb Verb = ctl::Verb::Status;
  std::vector<std::string> Arguments; // files, a service, an address, a prefix
  ctl::Format Format = ctl::Format::Table;
  // Control addresses of balancers, in the order in which they are tried.
  // Empty only for commands that need no server.
  std::vector<base::SocketAddress> Servers;
  std::string TokenFile;
  // The revision that a write replaces, 0 for a new record; absent: whichever
  // is stored.
  std::optional<base::Revision> IfRevision;
  base::Duration Timeout = std::chrono::seconds(8);
  // How long to wait until a written record is in force at every balancer;
  // absent: not at all.
  std::optional<base::Duration> Wait;
  bool Undo = false;
};

// Checks the words that follow the program name, and the flags. Thread safety:
// any thread.
base::Result<Command> parseCommand(const std::vector<std::string> &Words,
                                   const FlagValues &Flags);

// Returns the help text that lists commands and exit codes. Thread safety: any
// thread.
std::string usageText();

// Parses argv with gflags, which prints help and exits by itself for --help and
// for an unknown flag, and then parseCommand(). Thread safety: call once, from
// main().
base::Result<Command> parseCommandLine(int Argc, char **Argv);

} // namespace burdockstream::ctl

#endif
