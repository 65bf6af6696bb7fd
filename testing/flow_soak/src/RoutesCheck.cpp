#include "RoutesCheck.h"

#include "burdockstream/base/JsonText.h"

namespace burdockstream::flowsoak {

void RoutesCheck::poll() {
  for (size_t I = 0; I < Processes.size(); ++I) {
    const std::string Url =
        "http://" + base::toString(place(1, I, ControlPort)) + "/v1/daemon";
    Client.send({Url, "", {}, std::chrono::seconds(1), "GET"},
                [this, I, Number = Processes[I].Number](
                    const base::Result<http::HttpResponse> &Response) {
                  if (Response.has_value())
                    onReport(I, Number, Response.value().Body);
                });
  }
}

void RoutesCheck::onReport(size_t Balancer, uint64_t Number,
                           const std::string &Body) {
  const auto Report = base::JsonDocument::parse(Body, "report");
  if (Number != Processes[Balancer].Number || Report.has_error())
    return;
  const uint64_t Version = Report.value().root()["routes_version"].asUInt64();
  uint64_t &Known = Processes[Balancer].Version;
  if (Version < Known)
    Found.push_back("balancer " + std::to_string(Balancer) +
                    " returned from version " + std::to_string(Known) + " to " +
                    std::to_string(Version));
  Known = Version;
}

void RoutesCheck::expectVersion(uint64_t Version) {
  for (size_t I = 0; I < Processes.size(); ++I)
    if (Processes[I].Version != Version)
      Found.push_back("balancer " + std::to_string(I) + " has version " +
                      std::to_string(Processes[I].Version) + ", not " +
                      std::to_string(Version));
}

} // namespace burdockstream::flowsoak
