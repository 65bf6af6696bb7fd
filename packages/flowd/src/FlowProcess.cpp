#include "burdockstream/flowd/FlowProcess.h"

#include "BootClock.h"
#include "burdockstream/flowd/FlowDaemon.h"
#include "burdockstream/network/LoopTimer.h"

#include <cstdlib>
#include <glib-unix.h>
#include <iostream>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace burdockstream::flowd {

namespace {

// The file may change without a signal, so its state is looked at this often.
constexpr base::Duration SettingsPoll = std::chrono::seconds(1);

// Enough to flush the send queues; a loop that never falls idle must not keep
// the process from ending.
constexpr int LastIterations = 20;

// What changes when a file is written or replaced.
struct FileState {
  ino_t Inode = 0;
  off_t Size = 0;
  timespec Modified{};

  static FileState of(const std::string &Path) {
    struct stat Data {};
    FileState Result;
    if (::stat(Path.c_str(), &Data) == 0)
      Result = {Data.st_ino, Data.st_size, Data.st_mtim};
    return Result;
  }
  bool operator==(const FileState &Other) const {
    return Inode == Other.Inode && Size == Other.Size &&
           Modified.tv_sec == Other.Modified.tv_sec &&
           Modified.tv_nsec == Other.Modified.tv_nsec;
  }
};

class Process {
public:
  Process(std::string InitPath, const FlowSettings &InitSettings,
          const FlowEnvironment &Environment)
      : Path(std::move(InitPath)), Seen(FileState::of(Path)),
        Settings(InitSettings),
        Log(STDOUT_FILENO, InitSettings.Name, LogLimits()),
        Loop(g_main_loop_new(nullptr, FALSE)),
        Daemon(FlowDaemon::make(Settings, Environment, Log,
                                [this] { g_main_loop_quit(Loop); })) {}
  ~Process() { g_main_loop_unref(Loop); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  int run() {
    const auto Started = Daemon->start();
    if (Started.has_error()) {
      std::cerr << Started.error().Message << "\n";
      return ExitStart;
    }
    log("started", "role", std::string(toString(Settings.Role)));
    g_unix_signal_add(SIGTERM, onTerminate, this);
    g_unix_signal_add(SIGINT, onTerminate, this);
    g_unix_signal_add(SIGHUP, onHangUp, this);
    network::callEvery(SettingsPoll, [this] { poll(); });
    g_main_loop_run(Loop);
    // The last frames are in the send queue, which is flushed before the loop
    // waits.
    for (int I = 0; I < LastIterations; ++I)
      if (!g_main_context_iteration(nullptr, FALSE))
        break;
    log("stopped", "role", std::string(toString(Settings.Role)));
    return EXIT_SUCCESS;
  }

private:
  static gboolean onTerminate(gpointer Data) {
    auto *Self = static_cast<Process *>(Data);
    if (!std::exchange(Self->Stopping, true)) {
      Self->log("stopping", "cause", "signal");
      Self->Daemon->beginShutdown();
    }
    return G_SOURCE_CONTINUE;
  }

  static gboolean onHangUp(gpointer Data) {
    static_cast<Process *>(Data)->reload("signal");
    return G_SOURCE_CONTINUE;
  }

  void poll() {
    if (!(FileState::of(Path) == Seen))
      reload("file_changed");
  }

  void reload(const char *Cause) {
    Seen = FileState::of(Path);
    const auto Read = loadFlowSettings(Path);
    if (Read.has_error()) // the settings in force stay
      return log("settings_refused", "problem", Read.error().Message);
    const bool Changed = !(Read.value() == Settings);
    Settings = Read.value();
    Daemon->applySettings(Settings);
    log("settings_reloaded", Changed ? "changed_by" : "unchanged_after", Cause);
  }

  void log(const char *Event, const char *Field, const std::string &Value) {
    Json::Value Fields;
    Fields[Field] = Value;
    Log.write(LogPriority::Process, Event, std::move(Fields), readClocks());
  }

  std::string Path;
  FileState Seen;
  FlowSettings Settings;
  EventLog Log;
  GMainLoop *Loop;
  std::unique_ptr<FlowDaemon> Daemon;
  bool Stopping = false;
};

} // namespace

int runProcess(const std::string &Path, const FlowEnvironment &Environment) {
  const auto Settings = loadFlowSettings(Path);
  if (Settings.has_error()) {
    std::cerr << Settings.error().Message << "\n";
    return ExitSettings;
  }
  return Process(Path, Settings.value(), Environment).run();
}

int checkSettings(const std::string &Path) {
  const auto Settings = loadFlowSettings(Path);
  if (Settings.has_error()) {
    std::cerr << Settings.error().Message << "\n";
    return ExitSettings;
  }
  std::cout << Path << " is valid for role " << toString(Settings.value().Role)
            << "\n";
  return EXIT_SUCCESS;
}

} // namespace burdockstream::flowd
