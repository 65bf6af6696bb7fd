#include "burdockstream/standins/StandinProgram.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <glib-unix.h>
#include <glib.h>
#include <glog/logging.h>

DEFINE_int32(run_seconds, 0,
             "Exit after this time; 0: run until SIGTERM or SIGINT");

namespace burdockstream::standins {

namespace {

GMainLoop *MainLoop = nullptr;

gboolean quitLoop(gpointer) {
  quitProgram();
  return G_SOURCE_CONTINUE;
}

} // namespace

void initProgram(int &Argc, char **&Argv, const char *Usage) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);
  MainLoop = g_main_loop_new(nullptr, FALSE);
}

void runProgram() {
  g_unix_signal_add(SIGTERM, quitLoop, nullptr);
  g_unix_signal_add(SIGINT, quitLoop, nullptr);
  if (FLAGS_run_seconds > 0)
    g_timeout_add_seconds(static_cast<guint>(FLAGS_run_seconds), quitLoop,
                          nullptr);
  g_main_loop_run(MainLoop);
  LOG(INFO) << "shutting down";
}

void quitProgram() { g_main_loop_quit(MainLoop); }

base::Result<std::vector<base::SocketAddress>>
parseAddressList(std::string_view Text) {
  std::vector<base::SocketAddress> Addresses;
  while (!Text.empty()) {
    const size_t Comma = Text.find(',');
    const auto Address = base::parseSocketAddress(Text.substr(0, Comma));
    if (!Address)
      return Address.error();
    Addresses.push_back(Address.value());
    Text = Comma == std::string_view::npos ? "" : Text.substr(Comma + 1);
  }
  return Addresses;
}

void exitWithError(const base::Error &Failure) {
  LOG(ERROR) << Failure.Message;
  std::exit(2);
}

} // namespace burdockstream::standins
