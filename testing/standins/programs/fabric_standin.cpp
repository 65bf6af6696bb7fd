// Stand-in for the network fabric. See FabricStandin.h for the commands of the
// control port.
#include "burdockstream/standins/ControlPort.h"
#include "burdockstream/standins/FabricStandin.h"
#include "burdockstream/standins/StandinProgram.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_string(services, "", "Service addresses, as ip:port,ip:port");
DEFINE_string(balancers, "", "Data addresses of the balancers");
DEFINE_string(uplink, "",
              "Address of the socket facing the balancers; default: any port");
DEFINE_string(control, "127.0.0.1:7600", "Address of the control port");
DEFINE_uint64(seed, 1, "Seed of the random number generator");

namespace standins = burdockstream::standins;

int main(int Argc, char **Argv) {
  standins::initProgram(
      Argc, Argv, "Distributes caller datagrams randomly across balancers");
  standins::FabricOptions Options;
  Options.Services =
      standins::valueOrExit(standins::parseAddressList(FLAGS_services));
  Options.Balancers =
      standins::valueOrExit(standins::parseAddressList(FLAGS_balancers));
  if (!FLAGS_uplink.empty())
    Options.Uplink = standins::valueOrExit(
        burdockstream::base::parseSocketAddress(FLAGS_uplink));
  Options.Seed = FLAGS_seed;
  const auto Fabric =
      standins::valueOrExit(standins::FabricStandin::open(nullptr, Options));
  const auto Control = standins::valueOrExit(standins::ControlPort::open(
      nullptr,
      standins::valueOrExit(
          burdockstream::base::parseSocketAddress(FLAGS_control)),
      [&Fabric](const Json::Value &Command) {
        return Fabric->execute(Command);
      }));
  LOG(INFO) << "fabric with " << Options.Services.size()
            << " service addresses and " << Options.Balancers.size()
            << " balancers, control port "
            << burdockstream::base::toString(Control->localAddress());
  standins::runProgram();
  return 0;
}
