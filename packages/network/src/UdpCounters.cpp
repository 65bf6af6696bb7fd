#include "burdockstream/network/UdpSocket.h"

namespace burdockstream::network {

void exportCounters(base::Metrics &Registry, const UdpCounters &Counters,
                    const base::Labels &Tags) {
  const auto Set = [&](const char *Name, uint64_t Value) {
    Registry.gauge(Name, Tags).set(static_cast<int64_t>(Value));
  };
  Set("udp_received", Counters.Received);
  Set("udp_received_bytes", Counters.ReceivedBytes);
  Set("udp_sent", Counters.Sent);
  Set("udp_sent_bytes", Counters.SentBytes);
  Set("udp_kernel_drops", Counters.KernelDrops);
  Set("udp_send_queue_full", Counters.SendQueueFull);
  Set("udp_send_errors", Counters.SendErrors);
}

} // namespace burdockstream::network
