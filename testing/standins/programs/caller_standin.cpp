// Load generator that stands in for many callers. On exit it prints its report
// to stdout as one JSON object.
#include "burdockstream/standins/CallerFleet.h"
#include "burdockstream/standins/ControlPort.h"
#include "burdockstream/standins/StandinProgram.h"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_string(service_address, "127.0.0.1:5683",
              "Address to which requests are sent");
DEFINE_string(local_ip, "127.0.0.1", "IP address of the callers' sockets");
DEFINE_string(service, "shopdesk", "Service name expected in response bodies");
DEFINE_string(control, "127.0.0.1:7800", "Address of the control port");
DEFINE_uint32(callers, 10, "Number of callers, each with its own socket");
DEFINE_double(rate, 100, "Requests per second over all callers");
DEFINE_string(mix, "echo=6,sheet=1,put=1,booking=2",
              "Weights of echo, sheet, put, booking and certificate");
DEFINE_string(boards, "", "Boards to which every caller subscribes");
DEFINE_uint32(deadline_ms, 10000, "Deadline of POST requests");
DEFINE_uint32(ack_timeout_ms, 2000, "Time until the first retransmission");
DEFINE_uint32(reregister_s, 20, "Renewal interval of subscriptions");
DEFINE_uint32(retries, 0, "Retries after a not-run response or none");
DEFINE_uint32(max_sheet_bytes, 20000, "Largest sheet that is requested");
DEFINE_uint32(settle_s, 5, "Time without new requests before the exit");
DEFINE_uint64(seed, 1, "Seed of the random number generator");
DECLARE_int32(run_seconds);

namespace standins = burdockstream::standins;
namespace base = burdockstream::base;

namespace {

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  for (size_t Begin = 0; Begin < Text.size();) {
    const size_t End = std::min(Text.find(',', Begin), Text.size());
    Items.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Items;
}

base::Result<std::map<std::string, uint32_t>> parseMix() {
  std::map<std::string, uint32_t> Mix;
  for (const std::string &Item : splitList(FLAGS_mix)) {
    const size_t Equals = Item.find('=');
    if (Equals == std::string::npos)
      return base::makeError(base::ErrorKind::InvalidArgument,
                             "--mix must be a comma-separated list of "
                             "kind=weight");
    Mix[Item.substr(0, Equals)] = static_cast<uint32_t>(
        std::strtoul(Item.c_str() + Equals + 1, nullptr, 10));
  }
  return Mix;
}

standins::FleetOptions optionsFromFlags() {
  standins::FleetOptions Options;
  Options.Caller.Service =
      standins::valueOrExit(base::parseSocketAddress(FLAGS_service_address));
  // Port 0 lets the kernel choose the port, but parseSocketAddress rejects it.
  Options.Caller.Local =
      standins::valueOrExit(base::parseSocketAddress(FLAGS_local_ip + ":1"));
  Options.Caller.Local.Port = 0;
  Options.Caller.Retransmit.AckTimeout =
      std::chrono::milliseconds(FLAGS_ack_timeout_ms);
  Options.Caller.ReregisterInterval = std::chrono::seconds(FLAGS_reregister_s);
  Options.ServiceName = FLAGS_service;
  Options.Callers = FLAGS_callers;
  Options.RequestsPerSecond = FLAGS_rate;
  Options.Mix = standins::valueOrExit(parseMix());
  Options.Boards = splitList(FLAGS_boards);
  Options.Deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
  Options.MaxSheetBytes = FLAGS_max_sheet_bytes;
  Options.Retries = static_cast<int>(FLAGS_retries);
  Options.Seed = FLAGS_seed;
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  standins::initProgram(Argc, Argv, "CoAP clients that stand in for callers");
  const auto Fleet = standins::valueOrExit(
      standins::CallerFleet::open(nullptr, optionsFromFlags()));
  const auto Control = standins::valueOrExit(standins::ControlPort::open(
      nullptr, standins::valueOrExit(base::parseSocketAddress(FLAGS_control)),
      [&Fleet](const Json::Value &Command) {
        return Fleet->execute(Command);
      }));
  LOG(INFO) << FLAGS_callers << " callers of " << FLAGS_service_address
            << ", control port " << base::toString(Control->localAddress());
  Fleet->start();
  standins::TimerQueue Timers(nullptr);
  const auto Settle = static_cast<int32_t>(FLAGS_settle_s);
  if (FLAGS_run_seconds > Settle)
    Timers.after(std::chrono::seconds(FLAGS_run_seconds - Settle),
                 [&Fleet] { Fleet->stop(); });
  standins::runProgram();
  std::cout << standins::toJsonLine(Fleet->results()) << std::endl;
  return 0;
}
