#include "burdockstream/ctl/Command.h"

#include "burdockstream/base/ProgramFlags.h"

DEFINE_bool(json, false, "print JSON in place of a table");
DEFINE_string(server, "",
              "control addresses of balancers, tried in order, as "
              "ip:port,ip:port");
DEFINE_string(token_file, "", "file that holds the team's token");
DEFINE_int64(if_revision, -1,
             "write only if the stored record has this revision, 0 for a new "
             "record; by default it replaces whichever is stored");
DEFINE_int32(timeout_ms, 8'000, "time limit of each call in milliseconds");
DEFINE_bool(wait, false,
            "after a write, wait until the record is in force at every "
            "balancer");
DEFINE_int32(wait_timeout_ms, 10'000, "time limit of --wait in milliseconds");
DEFINE_bool(undo, false, "with drain: let the endpoint serve again");

namespace burdockstream::ctl {

base::Result<Command> parseCommandLine(int Argc, char **Argv) {
  base::parseProgramFlags(usageText(), __FILE__, &Argc, &Argv);
  FlagValues Flags;
  Flags.Json = FLAGS_json;
  Flags.Server = FLAGS_server;
  Flags.TokenFile = FLAGS_token_file;
  Flags.IfRevision = FLAGS_if_revision;
  Flags.TimeoutMilliseconds = FLAGS_timeout_ms;
  Flags.Wait = FLAGS_wait;
  Flags.WaitTimeoutMilliseconds = FLAGS_wait_timeout_ms;
  Flags.Undo = FLAGS_undo;
  return parseCommand(std::vector<std::string>(Argv + 1, Argv + Argc), Flags);
}

} // namespace burdockstream::ctl
