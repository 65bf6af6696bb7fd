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

constexpr size_t Unlimited = 1'000;

enum class Kind {
  Local, // needs no server
  Read,
  Write,
  Drain, // a write that reads the record first
  Flow,  // asks daemons of flow services, which need no token
};

struct VerbInfo {
  ctl::Verb Verb;
  std::string_view Words;
  std::string_view ArgumentText;
  std::string_view Meaning;
  size_t MinArguments;
  size_t MaxArguments;
  bool NamesService;
  ctl::Kind Kind;
};

constexpr std::array<VerbInfo, 14> Verbs = {{
    {Verb::RecordPut, "record put", "FILE", "create or replace a record", 1, 1,
     false, Kind::Write},
    {Verb::RecordGet, "record get", "SERVICE", "print a record", 1, 1, true,
     Kind::Read},
    {Verb::RecordList, "record list", "", "list all records", 0, 0, false,
     Kind::Read},
    {Verb::RecordRetire, "record retire", "SERVICE", "retire a service", 1, 1,
     true, Kind::Write},
    {Verb::RecordValidate, "record validate", "FILE...",
     "check record files without a server", 1, Unlimited, false, Kind::Local},
    {Verb::RecordMigrate, "record migrate", "FILE",
     "print a record file in schema version 2", 1, 1, false, Kind::Local},
    {Verb::Status, "status", "", "list the balancers", 0, 0, false, Kind::Read},
    {Verb::Endpoints, "endpoints", "SERVICE", "list a service's endpoints", 1,
     1, true, Kind::Read},
    {Verb::Drain, "drain", "SERVICE ADDRESS",
     "drain the endpoint at a data address", 2, 2, true, Kind::Drain},
    {Verb::Metrics, "metrics", "[PREFIX]", "list the metrics of a balancer", 0,
     1, false, Kind::Read},
    {Verb::FlowStatus, "flow status", "",
     "list daemons of flow services and the routes in force", 0, 0, false,
     Kind::Flow},
    {Verb::FlowRoutes, "flow routes", "", "list the flow services' addresses",
     0, 0, false, Kind::Flow},
    {Verb::FlowTargets, "flow targets", "",
     "list the targets that a balancer knows", 0, 0, false, Kind::Flow},
    {Verb::FlowTrace, "flow trace", "CLIENT SERVICE",
     "show what each daemon knows of the flow between two addresses", 2, 2,
     false, Kind::Flow},
}};

base::Error usageError(const std::string &Text) {
  return makeError(ErrorKind::InvalidArgument, Text);
}

std::string usageLine(const VerbInfo &Info) {
  std::string Line = "burdockstreamctl " + std::string(Info.Words);
  if (!Info.ArgumentText.empty())
    Line += " " + std::string(Info.ArgumentText);
  return Line;
}

// Finds the verb that Words start with and how many words it takes.
const VerbInfo *findVerb(const std::vector<std::string> &Words,
                         size_t &Length) {
  const std::string One = Words.empty() ? "" : Words[0];
  const std::string Two = Words.size() < 2 ? One : One + " " + Words[1];
  for (const VerbInfo &Info : Verbs) {
    if (Info.Words != One && Info.Words != Two)
      continue;
    Length = Info.Words == One ? 1 : 2;
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

base::Result<void> checkTimes(const FlagValues &Flags) {
  if (Flags.TimeoutMilliseconds <= 0)
    return usageError("--timeout_ms: write a number above 0");
  if (Flags.WaitTimeoutMilliseconds <= 0)
    return usageError("--wait_timeout_ms: write a number above 0");
  return boost::outcome_v2::success();
}

// Refuses flags that the command would ignore.
base::Result<void> checkUse(const VerbInfo &Info, const FlagValues &Flags) {
  const bool ChangesRecord =
      Info.Kind == Kind::Write || Info.Kind == Kind::Drain;
  if (Flags.IfRevision < -1)
    return usageError("--if_revision: write a revision as printed by record "
                      "get, or 0 for a new record");
  if (Flags.IfRevision >= 0 && Info.Kind != Kind::Write)
    return usageError("--if_revision: the flag is for record put and record "
                      "retire; remove it");
  if (Flags.Wait && !ChangesRecord)
    return usageError("--wait: the command changes no record; remove the flag");
  if (Flags.Undo && Info.Kind != Kind::Drain)
    return usageError("--undo: the flag is for drain; remove it");
  if (Info.Kind == Kind::Local)
    return boost::outcome_v2::success();
  if (Flags.Server.empty())
    return usageError("the command needs a balancer; add "
                      "--server=IP:PORT,... with control addresses");
  if (Info.Kind == Kind::Flow && !Flags.TokenFile.empty())
    return usageError("--token_file: the command needs no token; remove the "
                      "flag");
  if (Flags.TokenFile.empty() && Info.Kind != Kind::Flow)
    return usageError("the command needs a team's token; add "
                      "--token_file=FILE");
  return boost::outcome_v2::success();
}

base::Result<void> checkAddresses(const std::vector<std::string> &Words) {
  for (const std::string &Word : Words) {
    const auto Address = base::parseSocketAddress(Word);
    if (Address.has_error())
      return usageError(Address.error().Message);
  }
  return boost::outcome_v2::success();
}

base::Result<void> readFlags(const FlagValues &Flags, Command &Out) {
  auto Checked = checkTimes(Flags);
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
  size_t Length = 0;
  const VerbInfo *Info = findVerb(Words, Length);
  if (!Info)
    return usageError(Words.empty()
                          ? "no command is given; see --help"
                          : "the command '" + Words[0] +
                                (Words.size() > 1 ? " " + Words[1] : "") +
                                "' is unknown; see --help");
  Command Out;
  Out.Verb = Info->Verb;
  Out.Arguments.assign(Words.begin() + static_cast<ptrdiff_t>(Length),
                       Words.end());
  if (Out.Arguments.size() < Info->MinArguments ||
      Out.Arguments.size() > Info->MaxArguments)
    return usageError("the number of arguments is wrong; write: " +
                      usageLine(*Info));
  if (Info->NamesService && !Out.Arguments.empty() &&
      !base::isName(Out.Arguments[0]))
    return usageError("'" + Out.Arguments[0] +
                      "' is not the name of a service; write lower-case "
                      "letters, digits and inner hyphens");
  auto Checked = checkUse(*Info, Flags);
  if (Checked.has_value() && Info->Verb == Verb::FlowTrace)
    Checked = checkAddresses(Out.Arguments);
  if (Checked.has_value())
    Checked = readFlags(Flags, Out);
  if (Checked.has_error())
    return Checked.error();
  return Out;
}

std::string usageText() {
  std::string Text = "Usage: burdockstreamctl [FLAGS] COMMAND\nCommands:\n";
  for (const VerbInfo &Info : Verbs) {
    std::string Line = "  " + usageLine(Info);
    Line.resize(std::max<size_t>(Line.size() + 2, 46), ' ');
    Text += Line + std::string(Info.Meaning) + "\n";
  }
  Text += "Exit codes:\n";
  for (const ExitCodeInfo &Info : exitCodes())
    Text += "  " + std::to_string(static_cast<int>(Info.Code)) + "  " +
            std::string(Info.Meaning) + "\n";
  return Text;
}

} // namespace burdockstream::ctl
