#include "Report.h"

namespace burdockstream::e2e {

uint64_t countOutcomes(const Json::Value &Report, const std::string &Outcome) {
  uint64_t Total = 0;
  for (const Json::Value &Kind : Report["kinds"])
    Total += Kind.get(Outcome, 0).asUInt64();
  return Total;
}

uint64_t sumBoardCounter(const Json::Value &Report, const std::string &Name) {
  uint64_t Total = 0;
  for (const Json::Value &Board : Report["boards"])
    Total += Board.get(Name, 0).asUInt64();
  return Total;
}

} // namespace burdockstream::e2e
