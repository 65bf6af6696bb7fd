// Prints one JSON line per relay and round: datagrams per second and core over
// loopback.
#include "burdockstream/bench/RelayBench.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <vector>

DEFINE_uint64(datagrams, 1000000, "Datagrams per relay and round");
DEFINE_uint32(rounds, 3, "Rounds; the relays take turns");
DEFINE_uint32(payload_bytes, 100, "Payload of each datagram; at most 1900");

namespace bench = burdockstream::bench;

namespace {

void print(const char *Name, const bench::RelayResult &Result) {
  std::printf("{\"relay\":\"%s\",\"payload_bytes\":%u,\"offered\":%llu,"
              "\"delivered\":%llu,\"per_second_per_core\":%.0f}\n",
              Name, FLAGS_payload_bytes,
              static_cast<unsigned long long>(Result.Offered),
              static_cast<unsigned long long>(Result.Delivered),
              Result.datagramsPerSecond());
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("Measures relays over loopback on one core");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_payload_bytes > 1900) {
    std::fprintf(stderr, "--payload_bytes must be at most 1900\n");
    return 2;
  }
  const std::vector<uint8_t> Payload(FLAGS_payload_bytes, 0x55);
  for (uint32_t Round = 0; Round < FLAGS_rounds; ++Round) {
    print("bare", bench::measureBareRelay(Payload, FLAGS_datagrams));
    print("socket", bench::measureSocketRelay(Payload, FLAGS_datagrams));
    print("forward", bench::measureForwardRelay(Payload, FLAGS_datagrams));
  }
  return 0;
}
