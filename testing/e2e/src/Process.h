// A child process. It is killed when the object is destroyed, or when the
// starting thread ends.
#ifndef BURDOCKSTREAM_E2E_PROCESS_H
#define BURDOCKSTREAM_E2E_PROCESS_H

#include <chrono>
#include <gio/gio.h>
#include <memory>
#include <string>
#include <vector>

namespace burdockstream::e2e {

struct ProcessOptions {
  std::string Program; // file name in the binary folder of the build
  std::vector<std::string> Arguments;
  std::string LogPath; // file that receives standard error
  // File that receives standard output; a pipe if empty.
  std::string OutputPath = {};
};

class Process {
public:
  // Starts the program with a pipe on standard output. Aborts the calling
  // program if that fails. Thread safety: loop thread only, for all methods.
  explicit Process(const ProcessOptions &Options);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  // Sends a signal; ignored if the process has exited.
  void signal(int Number);

  // Runs the main loop until the process exits or the time-out expires. Returns
  // whether the process has exited.
  bool waitForExit(std::chrono::milliseconds Timeout);

  bool hasExited() const { return Exited; }

  // Returns the exit code, or the negated number of the signal that terminated
  // the process. Precondition: hasExited().
  int exitCode() const;

  // Waits until the process exits and returns its standard output, which must
  // fit into the buffer of a pipe. Precondition: not called before.
  std::string readOutput();

private:
  static void onExit(GObject *Source, GAsyncResult *AsyncResult, gpointer Data);

  GSubprocess *Subprocess = nullptr;
  GCancellable *Cancellable;
  bool Exited = false;
};

// Runs the default main loop for this time. Thread safety: loop thread only.
void runLoopFor(std::chrono::milliseconds Time);

} // namespace burdockstream::e2e

#endif
