// The implementations of the commands that runCommand() dispatches to, one
// group per source file. Each returns the output of the command, also on
// failure. Thread safety: one thread at a time.
#ifndef BURDOCKSTREAM_CTL_SRC_COMMANDS_H
#define BURDOCKSTREAM_CTL_SRC_COMMANDS_H

#include "burdockstream/ctl/Run.h"

namespace burdockstream::ctl::detail {

Output putRecord(const Command &Command, const Hooks &Hooks);
Output retireRecord(const Command &Command, const Hooks &Hooks);
Output drainEndpoint(const Command &Command, const Hooks &Hooks);

Output getRecord(const Command &Command, const Hooks &Hooks);
Output listRecords(const Command &Command, const Hooks &Hooks);
Output validateRecords(const Command &Command, const Hooks &Hooks);
Output migrateRecord(const Command &Command, const Hooks &Hooks);

Output showStatus(const Command &Command, const Hooks &Hooks);
Output showEndpoints(const Command &Command, const Hooks &Hooks);
Output showMetrics(const Command &Command, const Hooks &Hooks);

Output showFlowStatus(const Command &Command, const Hooks &Hooks);
Output showFlowRoutes(const Command &Command, const Hooks &Hooks);
Output showFlowTargets(const Command &Command, const Hooks &Hooks);
Output traceFlow(const Command &Command, const Hooks &Hooks);

} // namespace burdockstream::ctl::detail

#endif
