// Main function helpers of the stand-in programs: flags, logging and the main
// loop, which ends on SIGTERM or SIGINT, or after --run_seconds.
#ifndef BURDOCKSTREAM_STANDINS_STANDINPROGRAM_H
#define BURDOCKSTREAM_STANDINS_STANDINPROGRAM_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/SocketAddress.h"

#include <string_view>
#include <vector>

namespace burdockstream::standins {

// Parses flags, starts logging to stderr and creates the main loop. Call it
// first. Thread safety: main thread only.
void initProgram(int &Argc, char **&Argv, const char *Usage);

// Runs the default main loop until a signal, --run_seconds or quitProgram ends
// it. Thread safety: main thread only.
void runProgram();

// Makes runProgram return. Thread safety: main thread only.
void quitProgram();

// Parses a comma-separated list of addresses, each as ip:port. Thread safety:
// any thread.
base::Result<std::vector<base::SocketAddress>>
parseAddressList(std::string_view Text);

// Logs Failure and exits with status 2. Thread safety: main thread only.
[[noreturn]] void exitWithError(const base::Error &Failure);

// Returns the value of Checked, or logs its error and exits with status 2.
// Thread safety: main thread only.
template <typename T> T valueOrExit(base::Result<T> Checked) {
  if (!Checked)
    exitWithError(Checked.error());
  return std::move(Checked.value());
}

} // namespace burdockstream::standins

#endif
