#include "BucketStates.h"

#include "burdockstream/base/EnumChart.h"

#include <glog/logging.h>

namespace burdockstream::ownership::internal {
namespace {

constexpr std::string_view ChartText =
#include "../charts/bucket.inc"
    ;

const auto &chart() {
  static const base::EnumChart Chart(ChartText,
                                     "packages/ownership/charts/bucket.json",
                                     BucketStateNames, BucketEventNames);
  return Chart;
}

} // namespace

BucketState next(BucketState State, BucketEvent Event) {
  const auto To = chart().next(State, Event);
  CHECK(To) << "bucket state chart has no transition for event "
            << BucketEventNames.name(Event) << " in state "
            << BucketStateNames.name(State);
  return *To;
}

} // namespace burdockstream::ownership::internal
