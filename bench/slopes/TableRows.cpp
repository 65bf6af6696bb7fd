#include "Row.h"

#include "RoutingSlopes.h"

namespace burdockstream::bench {

void addTableRows(Rows &Out) {
  Row Build{"bucket table build, 256 buckets", "us CPU", "endpoints", {}};
  Row Size{"bucket table memory", "bytes", "endpoints", {}};
  Row Route{"Router::route, one service", "ns CPU", "endpoints", {}};
  for (const size_t Endpoints : {3U, 5U, 15U, 100U}) {
    const TableCosts Costs = measureTable(Endpoints, 256);
    const double Count = static_cast<double>(Endpoints);
    Build.Points.emplace_back(Count, Costs.BuildMicroseconds);
    Size.Points.emplace_back(Count, static_cast<double>(Costs.TableBytes));
    Route.Points.emplace_back(Count, Costs.RouteNanoseconds);
  }
  Out.insert(Out.end(), {Build, Size, Route});
}

} // namespace burdockstream::bench
