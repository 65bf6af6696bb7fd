// burdockstreamd: runs the role that its settings specify, on a single-threaded
// event loop.
#include "AgentDaemon.h"
#include "BalancerDaemon.h"
#include "burdockstream/base/ProgramFlags.h"

#include <cstdlib>
#include <glib-unix.h>
#include <glog/logging.h>
#include <iostream>
#include <memory>
#include <sodium.h>

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

using namespace burdockstream;

// Exit codes, also listed in docs/OPERATIONS.md.
constexpr int ExitSettings = 2; // the settings are missing or invalid
constexpr int ExitStart = 3;    // an address cannot be used, or libsodium fails
constexpr int ExitForced = 4;   // a second SIGTERM ended the shutdown early

// State that the signal handler needs.
struct Process {
  GMainLoop *Loop = nullptr;
  std::unique_ptr<daemon::Daemon> Role;
  bool Stopping = false;
};

gboolean onTerminate(gpointer Data) {
  auto *Running = static_cast<Process *>(Data);
  if (Running->Stopping) {
    LOG(WARNING) << "received a second signal; exiting without completing the "
                    "requests in flight";
    google::FlushLogFiles(google::INFO);
    std::_Exit(ExitForced);
  }
  Running->Stopping = true;
  Running->Role->beginShutdown();
  return G_SOURCE_CONTINUE;
}

std::unique_ptr<daemon::Daemon>
makeRole(const settings::DaemonSettings &Settings,
         const std::function<void()> &OnShutdownComplete) {
  if (Settings.Role == settings::Role::Agent)
    return std::make_unique<daemon::AgentDaemon>(Settings, OnShutdownComplete);
  return std::make_unique<daemon::BalancerDaemon>(Settings, OnShutdownComplete);
}

int run(const settings::DaemonSettings &Settings) {
  Process Running;
  Running.Loop = g_main_loop_new(nullptr, FALSE);
  Running.Role = makeRole(Settings, [&] { g_main_loop_quit(Running.Loop); });
  const auto Started = Running.Role->start();
  if (Started.has_error()) {
    LOG(ERROR) << Started.error().Message;
    return ExitStart;
  }
  g_unix_signal_add(SIGTERM, onTerminate, &Running);
  g_unix_signal_add(SIGINT, onTerminate, &Running);
  LOG(INFO) << "role " << settings::toString(Settings.Role) << ", data port "
            << base::toString(Settings.Data);
  g_main_loop_run(Running.Loop);
  // The messages that announce the shutdown may still be in the send queue,
  // which the loop flushes before it would block.
  while (g_main_context_iteration(nullptr, FALSE))
    ;
  g_main_loop_unref(Running.Loop);
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetVersionString(BURDOCKSTREAM_VERSION);
  base::parseProgramFlags(
      "Usage: burdockstreamd --settings=FILE [--check_settings]\n"
      "Runs a balancer or an agent of CoAP services.",
      __FILE__, &argc, &argv);
  FLAGS_logtostderr = true; // the VMs have no disk
  google::InitGoogleLogging(argv[0]);
  if (sodium_init() < 0) {
    LOG(ERROR) << "libsodium initialization failed; check the installation";
    return ExitStart;
  }
  if (FLAGS_settings.empty()) {
    std::cerr << "--settings is required; see examples/ for settings files\n";
    return ExitSettings;
  }
  const auto Settings = settings::loadSettings(FLAGS_settings);
  if (Settings.has_error()) {
    std::cerr << Settings.error().Message << "\n";
    return ExitSettings;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << " is valid for role "
              << settings::toString(Settings.value().Role) << "\n";
    return EXIT_SUCCESS;
  }
  return run(Settings.value());
}
