#include "burdockstream/ctl/Command.h"

#include "burdockstream/base/JsonFields.h"
#include "burdockstream/ctl/ExitCode.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace burdockstream::ctl {

namespace {

using base::ErrorKind;
using base::makeError;

constexpr size_t MaxFiles = 1'000;

// What a command needs from a server and which flags apply to it.
enum class CommandKind {
  Local, // needs no server
  Read,
  Write,
  Drain, // reads the record, then writes it back
  Flow,  // queries daemons of flow services, which require no token
};

struct VerbInfo {
  ctl::Verb Verb;
  std::string_view Name;
  std::string_view ArgumentSyntax;
  std::string_view Description;
  size_t MinArguments;
  size_t MaxArguments;
  bool FirstArgumentIsService;
  CommandKind Kind;
};

constexpr std::array<VerbInfo, 14> Verbs = {{
    {Verb::RecordPut, "record put", "FILE", "create or replace a record", 1, 1,
     false, CommandKind::Write},
    {Verb::RecordGet, "record get", "SERVICE", "print a record", 1, 1, true,
     CommandKind::Read},
    {Verb::RecordList, "record list", "", "list all records", 0, 0, false,
     CommandKind::Read},
    {Verb::RecordRetire, "record retire", "SERVICE", "retire a service", 1, 1,
     true, CommandKind::Write},
    {Verb::RecordValidate, "record validate", "FILE...",
     "check record files without a server", 1, MaxFiles, false,
     CommandKind::Local},
    {Verb::RecordMigrate, "record migrate", "FILE",
     "print a record file in schema version 2", 1, 1, false,
     CommandKind::Local},
    {Verb::Status, "status", "", "list the balancers", 0, 0, false,
     CommandKind::Read},
    {Verb::Endpoints, "endpoints", "SERVICE", "list a service's endpoints", 1,
     1, true, CommandKind::Read},
    {Verb::Drain, "drain", "SERVICE ADDRESS",
     "drain the endpoint at a data address", 2, 2, true, CommandKind::Drain},
    {Verb::Metrics, "metrics", "[PREFIX]", "list the metrics of a balancer", 0,
     1, false, CommandKind::Read},
    {Verb::FlowStatus, "flow status", "",
     "list daemons of flow services and the routes in force", 0, 0, false,
     CommandKind::Flow},
    {Verb::FlowRoutes, "flow routes", "", "list the flow services' addresses",
     0, 0, false, CommandKind::Flow},
    {Verb::FlowTargets, "flow targets", "",
     "list the targets that a balancer knows", 0, 0, false, CommandKind::Flow},
    {Verb::FlowTrace, "flow trace", "CLIENT SERVICE",
     "show what each daemon knows of the flow between two addresses", 2, 2,
     false, CommandKind::Flow},
}};

base::Error usageError(const std::string &Text) {
  return makeError(ErrorKind::InvalidArgument, Text);
}

std::string usageLine(const VerbInfo &Info) {
  std::string Line = "burdockstreamctl " + std::string(Info.Name);
  if (!Info.ArgumentSyntax.empty())
    Line += " " + std::string(Info.ArgumentSyntax);
  return Line;
}

// Finds the command whose name Words start with, and sets WordCount to the
// number of words in its name. Returns null if there is none.
const VerbInfo *findVerb(const std::vector<std::string> &Words,
                         size_t &WordCount) {
  const std::string OneWord = Words.empty() ? "" : Words[0];
  const std::string TwoWords =
      Words.size() < 2 ? OneWord : OneWord + " " + Words[1];
  for (const VerbInfo &Info : Verbs) {
    if (Info.Name != OneWord && Info.Name != TwoWords)
      continue;
    WordCount = Info.Name == OneWord ? 1 : 2;
    return &Info;
  }
  return nullptr;
}

base::Result<std::vector<base::SocketAddress>>
parseAddresses(const std::string &Text, const std::string &Flag) {
  std::vector<base::SocketAddress> Addresses;
  std::istringstream Parts(Text);
  for (std::string Part; std::getline(Parts, Part, ',');) {
    const auto Address = base::parseSocketAddress(Part);
    if (Address.has_error())
      return usageError("--" + Flag + ": " + Address.error().Message);
    Addresses.push_back(Address.value());
  }
  return Addresses;
}

base::Result<void> checkTimeouts(const FlagValues &Flags) {
  if (Flags.TimeoutMilliseconds <= 0)
    return usageError("--timeout_ms: must be greater than 0");
  if (Flags.WaitTimeoutMilliseconds <= 0)
    return usageError("--wait_timeout_ms: must be greater than 0");
  return boost::outcome_v2::success();
}

// Rejects flags that the command would ignore, and checks that the flags which
// it requires are set.
base::Result<void> checkFlagUsage(const VerbInfo &Info,
                                  const FlagValues &Flags) {
  const bool ChangesRecord =
      Info.Kind == CommandKind::Write || Info.Kind == CommandKind::Drain;
  if (Flags.IfRevision < -1)
    return usageError("--if_revision: must be a revision as printed by "
                      "record get, or 0 for a new record");
  if (Flags.IfRevision >= 0 && Info.Kind != CommandKind::Write)
    return usageError("--if_revision: only valid with record put and record "
                      "retire");
  if (Flags.Wait && !ChangesRecord)
    return usageError("--wait: only valid with commands that change a record");
  if (Flags.Undo && Info.Kind != CommandKind::Drain)
    return usageError("--undo: only valid with drain");
  if (Info.Kind == CommandKind::Local)
    return boost::outcome_v2::success();
  if (Flags.Server.empty())
    return usageError("the command needs a balancer; add "
                      "--server=IP:PORT,... with control addresses");
  if (Info.Kind == CommandKind::Flow && !Flags.TokenFile.empty())
    return usageError("--token_file: the command needs no token; remove the "
                      "flag");
  if (Flags.TokenFile.empty() && Info.Kind != CommandKind::Flow)
    return usageError("the command needs a team's token; add "
                      "--token_file=FILE");
  return boost::outcome_v2::success();
}

base::Result<void> checkSocketAddresses(const std::vector<std::string> &Words) {
  for (const std::string &Word : Words) {
    const auto Address = base::parseSocketAddress(Word);
    if (Address.has_error())
      return usageError(Address.error().Message);
  }
  return boost::outcome_v2::success();
}

base::Result<void> applyFlags(const FlagValues &Flags, Command &Out) {
  auto Checked = checkTimeouts(Flags);
  if (Checked.has_error())
    return Checked;
  const auto Servers = parseAddresses(Flags.Server, "server");
  if (Servers.has_error())
    return Servers.error();
  Out.Servers = Servers.value();
  Out.Format = Flags.Json ? Format::Json : Format::Table;
  Out.TokenFile = Flags.TokenFile;
  Out.Timeout = std::chrono::milliseconds(Flags.TimeoutMilliseconds);
  if (Flags.IfRevision >= 0)
    Out.IfRevision = Flags.IfRevision;
  if (Flags.Wait)
    Out.Wait = std::chrono::milliseconds(Flags.WaitTimeoutMilliseconds);
  Out.Undo = Flags.Undo;
  return boost::outcome_v2::success();
}

} // namespace

base::Result<Command> parseCommand(const std::vector<std::string> &Words,
                                   const FlagValues &Flags) {
  size_t WordCount = 0;
  const VerbInfo *Info = findVerb(Words, WordCount);
  if (!Info)
    return usageError(Words.empty()
                          ? "no command is given; see --help"
                          : "unknown command '" + Words[0] +
                                (Words.size() > 1 ? " " + Words[1] : "") +
                                "'; see --help");
  Command Out;
  Out.Verb = Info->Verb;
  Out.Arguments.assign(Words.begin() + static_cast<ptrdiff_t>(WordCount),
                       Words.end());
  if (Out.Arguments.size() < Info->MinArguments ||
      Out.Arguments.size() > Info->MaxArguments)
    return usageError("wrong number of arguments; usage: " + usageLine(*Info));
  if (Info->FirstArgumentIsService && !Out.Arguments.empty() &&
      !base::isName(Out.Arguments[0]))
    return usageError("'" + Out.Arguments[0] +
                      "' is not a valid service name; use lower-case "
                      "letters, digits and hyphens between them");
  auto Checked = checkFlagUsage(*Info, Flags);
  if (Checked.has_value() && Info->Verb == Verb::FlowTrace)
    Checked = checkSocketAddresses(Out.Arguments);
  if (Checked.has_value())
    Checked = applyFlags(Flags, Out);
  if (Checked.has_error())
    return Checked.error();
  return Out;
}

std::string usageText() {
  std::string Text = "Usage: burdockstreamctl [FLAGS] COMMAND\nCommands:\n";
  for (const VerbInfo &Info : Verbs) {
    std::string Line = "  " + usageLine(Info);
    Line.resize(std::max<size_t>(Line.size() + 2, 46), ' ');
    Text += Line + std::string(Info.Description) + "\n";
  }
  Text += "Exit codes:\n";
  for (const ExitCodeInfo &Info : exitCodes())
    Text += "  " + std::to_string(static_cast<int>(Info.Code)) + "  " +
            std::string(Info.Description) + "\n";
  return Text;
}

} // namespace burdockstream::ctl
