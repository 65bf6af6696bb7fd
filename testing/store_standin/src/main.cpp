// Runs the store stand-in as a program until SIGTERM, SIGINT or the end of
// --run_seconds.
#include "burdockstream/testing/StoreStandIn.h"

#include <csignal>
#include <gflags/gflags.h>
#include <glib-unix.h>
#include <glog/logging.h>

DEFINE_string(listen, "127.0.0.1:2379", "address of the HTTP server");
DEFINE_int32(run_seconds, 600, "the program exits after this time");

namespace {

gboolean quitLoop(gpointer Data) {
  g_main_loop_quit(static_cast<GMainLoop *>(Data));
  return G_SOURCE_CONTINUE;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const auto Address = burdockstream::base::parseSocketAddress(FLAGS_listen);
  if (Address.has_error()) {
    LOG(ERROR) << Address.error().Message;
    return 2;
  }
  GMainLoop *Loop = g_main_loop_new(nullptr, FALSE);
  burdockstream::testing::StoreStandIn Store;
  const auto Listening = Store.listen(Address.value());
  if (Listening.has_error()) {
    LOG(ERROR) << Listening.error().Message;
    return 1;
  }
  g_unix_signal_add(SIGTERM, quitLoop, Loop);
  g_unix_signal_add(SIGINT, quitLoop, Loop);
  g_timeout_add_seconds(static_cast<guint>(FLAGS_run_seconds), quitLoop, Loop);
  LOG(INFO) << "store stand-in listening on " << FLAGS_listen;
  g_main_loop_run(Loop);
  g_main_loop_unref(Loop);
  return 0;
}
