// Stand-in for an endpoint. See EndpointStandin.h for its resources and for the
// commands of the control port.
#include "burdockstream/standins/ControlPort.h"
#include "burdockstream/standins/EndpointStandin.h"
#include "burdockstream/standins/StandinProgram.h"

#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_string(listen, "127.0.0.1:5700", "Address of the CoAP server");
DEFINE_string(control, "127.0.0.1:7700", "Address of the control port");
DEFINE_string(service, "shopdesk", "Service name in response bodies");
DEFINE_uint32(slots, 2, "Requests that run concurrently");
DEFINE_uint32(queue_limit, 2, "Requests that wait for a slot; more are shed");
DEFINE_uint32(default_run_ms, 5, "Run time of paths not listed in --run_ms");
DEFINE_string(run_ms, "",
              "Run times by path prefix, as /booking=50,/certificate=2000");
DEFINE_uint32(cold_ms, 0, "Time after the start with longer run times");
DEFINE_uint32(cold_factor, 5, "Factor of run times during --cold_ms");
DEFINE_uint32(exchange_lifetime_s, 247,
              "How long replies are kept for duplicates");
DEFINE_uint64(seed, 1, "Seed of message ids and retransmission times");

namespace standins = burdockstream::standins;
namespace base = burdockstream::base;

namespace {

base::Result<std::map<std::string, base::Duration>>
parseRunTimes(const std::string &Text) {
  std::map<std::string, base::Duration> Times;
  size_t Begin = 0;
  while (Begin < Text.size()) {
    const size_t End = std::min(Text.find(',', Begin), Text.size());
    const size_t Equals = Text.find('=', Begin);
    char *Rest = nullptr;
    const unsigned long Count =
        Equals < End ? std::strtoul(Text.c_str() + Equals + 1, &Rest, 10) : 0;
    if (Rest != Text.c_str() + End)
      return base::makeError(base::ErrorKind::InvalidArgument,
                             "--run_ms must be a comma-separated list of "
                             "/prefix=milliseconds");
    Times[Text.substr(Begin, Equals - Begin)] =
        std::chrono::milliseconds(Count);
    Begin = End + 1;
  }
  return Times;
}

standins::EndpointOptions optionsFromFlags() {
  standins::EndpointOptions Options;
  Options.Listen =
      standins::valueOrExit(base::parseSocketAddress(FLAGS_listen));
  Options.Service = FLAGS_service;
  Options.Jobs.Slots = FLAGS_slots;
  Options.Jobs.QueueLimit = FLAGS_queue_limit;
  Options.Jobs.DefaultRunTime = std::chrono::milliseconds(FLAGS_default_run_ms);
  Options.Jobs.RunTimes = standins::valueOrExit(parseRunTimes(FLAGS_run_ms));
  Options.Jobs.ColdPeriod = std::chrono::milliseconds(FLAGS_cold_ms);
  Options.Jobs.ColdFactor = static_cast<int>(FLAGS_cold_factor);
  Options.ExchangeLifetime = std::chrono::seconds(FLAGS_exchange_lifetime_s);
  Options.Seed = FLAGS_seed;
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  standins::initProgram(Argc, Argv,
                        "CoAP server that stands in for an endpoint");
  const auto Endpoint = standins::valueOrExit(
      standins::EndpointStandin::open(nullptr, optionsFromFlags()));
  const auto Control = standins::valueOrExit(standins::ControlPort::open(
      nullptr, standins::valueOrExit(base::parseSocketAddress(FLAGS_control)),
      [&Endpoint](const Json::Value &Command) {
        return Endpoint->execute(Command);
      }));
  LOG(INFO) << "endpoint of " << FLAGS_service << " at "
            << base::toString(Endpoint->localAddress()) << ", control port "
            << base::toString(Control->localAddress());
  standins::runProgram();
  return 0;
}
