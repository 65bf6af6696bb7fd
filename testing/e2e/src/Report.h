// Evaluates the report that the caller stand-in prints on exit.
#ifndef BURDOCKSTREAM_E2E_REPORT_H
#define BURDOCKSTREAM_E2E_REPORT_H

#include <cstdint>
#include <json/value.h>
#include <string>

namespace burdockstream::e2e {

// Returns the number of requests with this outcome, summed over all request
// kinds. Thread safety: any thread.
uint64_t countOutcomes(const Json::Value &Report, const std::string &Outcome);

// Returns the counter with this name, summed over all boards. Thread safety:
// any thread.
uint64_t sumBoardCounter(const Json::Value &Report, const std::string &Name);

} // namespace burdockstream::e2e

#endif
