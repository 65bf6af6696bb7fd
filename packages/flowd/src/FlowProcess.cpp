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

// The settings file may change without a signal, so it is checked at this
// interval.
constexpr base::Duration SettingsPollInterval = std::chrono::seconds(1);

// Sufficient to flush the send queues; the limit ensures that the process ends
// even if the event loop never becomes idle.
constexpr int MaxFlushIterations = 20;

// File attributes that change when a file is written or replaced.
struct FileState {
  ino_t Inode = 0;
  off_t Size = 0;
  timespec Modified{};

  static FileState read(const std::string &Path) {
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

// Runs one daemon on the default event loop.
class DaemonProcess {
public:
  DaemonProcess(std::string InitPath, const FlowSettings &InitSettings,
                const FlowEnvironment &Environment)
      : Path(std::move(InitPath)), LastFileState(FileState::read(Path)),
        Settings(InitSettings),
        Log(STDOUT_FILENO, InitSettings.Name, LogLimits()),
        Loop(g_main_loop_new(nullptr, FALSE)),
        Daemon(FlowDaemon::make(Settings, Environment, Log,
                                [this] { g_main_loop_quit(Loop); })) {}
  ~DaemonProcess() { g_main_loop_unref(Loop); }
  DaemonProcess(const DaemonProcess &) = delete;
  DaemonProcess &operator=(const DaemonProcess &) = delete;

  int run() {
    const auto Started = Daemon->start();
    if (Started.has_error()) {
      std::cerr << Started.error().Message << "\n";
      return ExitStartFailed;
    }
    log("started", "role", std::string(toString(Settings.Role)));
    g_unix_signal_add(SIGTERM, onTerminate, this);
    g_unix_signal_add(SIGINT, onTerminate, this);
    g_unix_signal_add(SIGHUP, onHangUp, this);
    network::callEvery(SettingsPollInterval, [this] { checkSettingsFile(); });
    g_main_loop_run(Loop);
    // The last frames are still in the send queues, which an iteration flushes
    // before it waits for events.
    for (int I = 0; I < MaxFlushIterations; ++I)
      if (!g_main_context_iteration(nullptr, FALSE))
        break;
    log("stopped", "role", std::string(toString(Settings.Role)));
    return EXIT_SUCCESS;
  }

private:
  static gboolean onTerminate(gpointer Data) {
    auto *Self = static_cast<DaemonProcess *>(Data);
    if (!std::exchange(Self->Stopping, true)) {
      Self->log("stopping", "cause", "signal");
      Self->Daemon->beginShutdown();
    }
    return G_SOURCE_CONTINUE;
  }

  static gboolean onHangUp(gpointer Data) {
    static_cast<DaemonProcess *>(Data)->reload("signal");
    return G_SOURCE_CONTINUE;
  }

  void checkSettingsFile() {
    if (!(FileState::read(Path) == LastFileState))
      reload("file_changed");
  }

  void reload(const char *Cause) {
    LastFileState = FileState::read(Path);
    const auto Read = loadFlowSettings(Path);
    if (Read.has_error()) // keep the current settings
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
  FileState LastFileState;
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
    return ExitInvalidSettings;
  }
  return DaemonProcess(Path, Settings.value(), Environment).run();
}

int checkSettings(const std::string &Path) {
  const auto Settings = loadFlowSettings(Path);
  if (Settings.has_error()) {
    std::cerr << Settings.error().Message << "\n";
    return ExitInvalidSettings;
  }
  std::cout << Path << " is valid for role " << toString(Settings.value().Role)
            << "\n";
  return EXIT_SUCCESS;
}

} // namespace burdockstream::flowd
