// The life of one process of flow services: settings, signals, loop, exit code.
#ifndef BURDOCKSTREAM_FLOWD_FLOWPROCESS_H
#define BURDOCKSTREAM_FLOWD_FLOWPROCESS_H

#include "burdockstream/flowd/FlowEnvironment.h"

#include <string>

namespace burdockstream::flowd {

// Exit codes, also listed in docs/OPERATIONS.md.
inline constexpr int ExitSettings = 2; // the settings are missing or wrong
inline constexpr int ExitStart = 3;    // an address cannot be used

// Runs the role that the settings file at Path names until SIGTERM or SIGINT
// has been carried out. SIGHUP, or a change of the file, applies the settings
// again. Returns the exit code. Thread safety: main thread only.
int runProcess(const std::string &Path, const FlowEnvironment &Environment);

// Says on standard output whether the file is valid. Returns the exit code.
// Thread safety: any thread.
int checkSettings(const std::string &Path);

} // namespace burdockstream::flowd

#endif
