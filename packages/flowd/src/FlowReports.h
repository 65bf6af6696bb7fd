// HTTP reports of a flow service daemon for operators: metrics, the daemon's
// view of the deployment, and its state of a single flow.
#ifndef BURDOCKSTREAM_FLOWD_FLOWREPORTS_H
#define BURDOCKSTREAM_FLOWD_FLOWREPORTS_H

#include "burdockstream/base/Metrics.h"
#include "burdockstream/flows/FlowAgent.h"
#include "burdockstream/flows/FlowBalancer.h"
#include "burdockstream/http/HttpServer.h"

#include <functional>
#include <json/value.h>
#include <optional>

namespace burdockstream::flowd {

// Callbacks that produce the contents of the reports.
struct ReportSources {
  std::function<base::MetricsSnapshot()> Metrics;
  std::function<Json::Value()> Daemon;
  std::function<Json::Value(const flows::FlowKey &)> Flow;
};

// Returns the answer to a GET request for /metrics, /v1/daemon, or
// /v1/flow?client=IP:PORT&service=IP:PORT, and nothing for any other request.
// The answer has status 400 if an address of a flow is malformed. Thread
// safety: loop thread only.
std::optional<http::ServerAnswer>
handleReportRequest(const http::ServerRequest &Request,
                    const ReportSources &Sources);

// Thread safety, for all below: loop thread only.

// Sets the gauges for the state of a core.
void exportState(base::Metrics &Registry, const flows::FlowBalancer &Core,
                 base::TimePoint Now);
void exportState(base::Metrics &Registry, const flows::FlowAgent &Core,
                 base::TimePoint Now);

// Returns the JSON report of a core or of its view of one flow.
Json::Value describe(const flows::FlowBalancer &Core, base::TimePoint Now);
Json::Value describe(const flows::FlowAgent &Core, base::TimePoint Now);
Json::Value describe(const flows::BalancerFlowView &View);
Json::Value describe(const flows::AgentFlowView &View);

} // namespace burdockstream::flowd

#endif
