// Prediction of run times and work classes from the path rules of the service's
// configuration record, corrected by measured run times.
#ifndef BURDOCKSTREAM_REQUESTS_RUNTIMEESTIMATOR_H
#define BURDOCKSTREAM_REQUESTS_RUNTIMEESTIMATOR_H

#include "burdockstream/coap/CoapMessage.h"
#include "burdockstream/records/ServiceConfig.h"

#include <map>
#include <string>
#include <vector>

namespace burdockstream::requests {

// Prediction for one request.
struct RunEstimate {
  std::string Key; // requests with the same key share measurements
  records::WorkClass Class = records::WorkClass::Short;
  bool Idempotent = true;
  base::Duration Expected{0};
  base::Duration Spread{0}; // mean absolute deviation; zero: not known
};

// Not thread-safe.
class RunTimeEstimator {
public:
  // Mean run times clearly above InitLongThreshold are classified as long.
  explicit RunTimeEstimator(base::Duration InitLongThreshold)
      : LongThreshold(InitLongThreshold) {}

  // Replaces the path rules; measurements are kept.
  void setRules(std::vector<records::ClassRule> NewRules) {
    Rules = std::move(NewRules);
  }

  // Returns the prediction for Request. Without a matching rule it is short,
  // idempotent work with a default run time.
  RunEstimate estimate(const coap::CoapMessage &Request) const;
  // Adds a measured run time of a request with this key.
  void addSample(const std::string &Key, base::Duration Run);

private:
  struct Statistics {
    base::Duration Mean{0};
    base::Duration Deviation{0};
    uint32_t Samples = 0;
  };
  const records::ClassRule *findRule(const std::string &Path) const;

  base::Duration LongThreshold;
  std::vector<records::ClassRule> Rules;
  std::map<std::string, Statistics> StatisticsByKey;
};

} // namespace burdockstream::requests

#endif
