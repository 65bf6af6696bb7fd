#include "burdockstream/ctl/Run.h"

#include "Commands.h"

namespace burdockstream::ctl {

Output runCommand(const Command &Command, const Hooks &Hooks) {
  switch (Command.Verb) {
  case Verb::RecordPut:
    return detail::putRecord(Command, Hooks);
  case Verb::RecordGet:
    return detail::getRecord(Command, Hooks);
  case Verb::RecordList:
    return detail::listRecords(Command, Hooks);
  case Verb::RecordRetire:
    return detail::retireRecord(Command, Hooks);
  case Verb::RecordValidate:
    return detail::validateRecords(Command, Hooks);
  case Verb::RecordMigrate:
    return detail::migrateRecord(Command, Hooks);
  case Verb::Status:
    return detail::showStatus(Command, Hooks);
  case Verb::Endpoints:
    return detail::showEndpoints(Command, Hooks);
  case Verb::Drain:
    return detail::drainEndpoint(Command, Hooks);
  case Verb::Metrics:
    return detail::showMetrics(Command, Hooks);
  case Verb::FlowStatus:
    return detail::showFlowStatus(Command, Hooks);
  case Verb::FlowRoutes:
    return detail::showFlowRoutes(Command, Hooks);
  case Verb::FlowTargets:
    return detail::showFlowTargets(Command, Hooks);
  case Verb::FlowTrace:
    return detail::traceFlow(Command, Hooks);
  }
  return {ExitCode::Usage, "", "unknown command; see --help\n"};
}

Output errorOutput(const base::Error &Error) {
  return {exitCodeOf(Error.Kind), "", Error.Message + "\n"};
}

} // namespace burdockstream::ctl
