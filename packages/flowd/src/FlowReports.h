// What a daemon of flow services tells operators over HTTP: its metrics, what
// it believes of the deployment, and what it knows of one flow.
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

struct ReportSources {
  std::function<base::MetricsSnapshot()> Metrics;
  std::function<Json::Value()> Daemon;
  std::function<Json::Value(const flows::FlowKey &)> Flow;
};

// Answers Request if it asks for a report: /metrics, /v1/daemon, or
// /v1/flow?client=IP:PORT&service=IP:PORT. Thread safety: loop thread only.
std::optional<http::ServerAnswer>
answerReport(const http::ServerRequest &Request, const ReportSources &Sources);

// Thread safety, for all below: loop thread only.

// Sets the gauges that show the state of a core.
void exportState(base::Metrics &Registry, const flows::FlowBalancer &Core,
                 base::TimePoint Now);
void exportState(base::Metrics &Registry, const flows::FlowAgent &Core,
                 base::TimePoint Now);

Json::Value describe(const flows::FlowBalancer &Core, base::TimePoint Now);
Json::Value describe(const flows::FlowAgent &Core, base::TimePoint Now);
Json::Value describe(const flows::BalancerFlowView &View);
Json::Value describe(const flows::AgentFlowView &View);

} // namespace burdockstream::flowd

#endif
