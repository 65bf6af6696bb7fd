// Entry points of a flow service process: settings, signals, event loop and
// exit code.
#ifndef BURDOCKSTREAM_FLOWD_FLOWPROCESS_H
#define BURDOCKSTREAM_FLOWD_FLOWPROCESS_H

#include "burdockstream/flowd/FlowEnvironment.h"

#include <string>

namespace burdockstream::flowd {

// Exit codes, also listed in docs/OPERATIONS.md.
inline constexpr int ExitInvalidSettings = 2; // settings missing or invalid
inline constexpr int ExitStartFailed = 3;     // an address cannot be bound

// Runs the role given by the settings file at Path until a shutdown requested
// by SIGTERM or SIGINT is complete. Reloads the settings on SIGHUP and when the
// file changes. Reports errors on standard error. Returns the exit code. Thread
// safety: main thread only.
int runProcess(const std::string &Path, const FlowEnvironment &Environment);

// Validates the settings file at Path. Reports success on standard output and
// problems on standard error. Returns the exit code. Thread safety: any thread.
int checkSettings(const std::string &Path);

} // namespace burdockstream::flowd

#endif
