#include "CountsCheck.h"

#include <sstream>

namespace burdockstream::flowsoak {

namespace {

constexpr const char *Gauges[] = {"open_flows", "requests_waiting",
                                  "openings_held"};

// Returns the value of a metric without labels, empty if it is missing.
std::string valueOf(const std::string &Text, const std::string &Name) {
  std::istringstream Lines(Text);
  const std::string Start = "burdockstream_" + Name + " ";
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.compare(0, Start.size(), Start) == 0)
      return Line.substr(Start.size());
  return "";
}

} // namespace

void CountsCheck::poll() {
  for (size_t I = 0; I < Metrics.size(); ++I) {
    const std::string Url =
        "http://" + base::toString(place(2, I, ControlPort)) + "/metrics";
    Client.send({Url, "", {}, std::chrono::seconds(1), "GET"},
                [this, I](const base::Result<http::HttpResponse> &Response) {
                  if (Response.has_value())
                    Metrics[I] = Response.value().Body;
                });
  }
}

void CountsCheck::expectNone() {
  for (size_t I = 0; I < Metrics.size(); ++I) {
    if (Metrics[I].empty()) {
      Found.push_back("agent " + std::to_string(I) + " reports no metrics");
      continue;
    }
    for (const std::string Name : Gauges) {
      const std::string Value = valueOf(Metrics[I], Name);
      if (Value == "0")
        continue;
      std::ostringstream Text;
      Text << "agent " << I;
      if (Value.empty())
        Text << " lacks the gauge " << Name;
      else
        Text << " reports " << Name << " " << Value
             << " at the end, expected 0";
      Found.push_back(Text.str());
    }
  }
}

} // namespace burdockstream::flowsoak
