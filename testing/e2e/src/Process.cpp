#include "Process.h"

#include <csignal>
#include <cstdlib>
#include <glog/logging.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace burdockstream::e2e {

namespace {

// Runs in the child before its program: the kernel ends it with its parent,
// also if that is killed.
void endWithParent(gpointer Parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != GPOINTER_TO_INT(Parent)) // it has ended already
    _exit(EXIT_FAILURE);
}

gboolean setFlag(gpointer Data) {
  *static_cast<bool *>(Data) = true;
  return G_SOURCE_REMOVE;
}

} // namespace

void runLoopFor(std::chrono::milliseconds Time) {
  bool Expired = false;
  g_timeout_add(static_cast<guint>(Time.count()), setFlag, &Expired);
  while (!Expired)
    g_main_context_iteration(nullptr, TRUE);
}

Process::Process(const ProcessOptions &Options)
    : Cancellable(g_cancellable_new()) {
  const std::string Path = std::string(E2E_BIN_DIR) + "/" + Options.Program;
  std::vector<const char *> Arguments{Path.c_str()};
  for (const std::string &Argument : Options.Arguments)
    Arguments.push_back(Argument.c_str());
  Arguments.push_back(nullptr);
  GSubprocessLauncher *Launcher = g_subprocess_launcher_new(
      Options.OutputPath.empty() ? G_SUBPROCESS_FLAGS_STDOUT_PIPE
                                 : G_SUBPROCESS_FLAGS_NONE);
  if (!Options.OutputPath.empty())
    g_subprocess_launcher_set_stdout_file_path(Launcher,
                                               Options.OutputPath.c_str());
  g_subprocess_launcher_set_stderr_file_path(Launcher, Options.LogPath.c_str());
  g_subprocess_launcher_set_child_setup(Launcher, endWithParent,
                                        GINT_TO_POINTER(getpid()), nullptr);
  GError *Cause = nullptr;
  Subprocess = g_subprocess_launcher_spawnv(Launcher, Arguments.data(), &Cause);
  g_object_unref(Launcher);
  CHECK(Subprocess) << Path << " could not be started: "
                    << (Cause ? Cause->message : "");
  g_subprocess_wait_async(Subprocess, Cancellable, onExit, this);
}

Process::~Process() {
  if (!Exited) {
    signal(SIGCONT);
    g_subprocess_force_exit(Subprocess);
    waitForExit(std::chrono::seconds(5));
  }
  if (!Exited) { // onExit must not run after the object is destroyed
    g_cancellable_cancel(Cancellable);
    while (!Exited)
      g_main_context_iteration(nullptr, TRUE);
  }
  g_object_unref(Cancellable);
  g_object_unref(Subprocess);
}

void Process::onExit(GObject *Source, GAsyncResult *AsyncResult,
                     gpointer Data) {
  g_subprocess_wait_finish(G_SUBPROCESS(Source), AsyncResult, nullptr);
  static_cast<Process *>(Data)->Exited = true;
}

void Process::signal(int Number) {
  g_subprocess_send_signal(Subprocess, Number);
}

bool Process::waitForExit(std::chrono::milliseconds Timeout) {
  bool Expired = false;
  const guint Timer =
      g_timeout_add(static_cast<guint>(Timeout.count()), setFlag, &Expired);
  while (!Exited && !Expired)
    g_main_context_iteration(nullptr, TRUE);
  if (!Expired)
    g_source_remove(Timer);
  return Exited;
}

int Process::exitCode() const {
  CHECK(Exited);
  if (g_subprocess_get_if_signaled(Subprocess))
    return -g_subprocess_get_term_sig(Subprocess);
  return g_subprocess_get_exit_status(Subprocess);
}

std::string Process::readOutput() {
  // The report of the callers, the only output that is read, is smaller than
  // the buffer of a pipe, so the process can exit before it is read.
  while (!Exited)
    g_main_context_iteration(nullptr, TRUE);
  GInputStream *Pipe = g_subprocess_get_stdout_pipe(Subprocess);
  std::string Output;
  char Chunk[4096];
  for (gssize Size = 1; Size > 0;) {
    Size = g_input_stream_read(Pipe, Chunk, sizeof(Chunk), nullptr, nullptr);
    if (Size > 0)
      Output.append(Chunk, static_cast<size_t>(Size));
  }
  return Output;
}

} // namespace burdockstream::e2e
