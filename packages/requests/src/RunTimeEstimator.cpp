#include "RunTimeEstimator.h"

#include <algorithm>

namespace burdockstream::requests {

namespace {

constexpr base::Duration DefaultRunTime = std::chrono::milliseconds(50);
// Samples needed before the mean run time overrides the rule's class.
constexpr uint32_t MinSamplesForClass = 8;
// The rule's class applies while the mean run time is within this factor of the
// threshold. Without a margin, paths with a mean of 933 ms and exponentially
// distributed run times were classified as short several percent of the time.
constexpr double ClassMargin = 1.5;
// A new sample has a weight of 1/16, and more if there are fewer samples. With
// a weight of 1/5, the mean of exponentially distributed run times varied by a
// third, and each low value admitted more work than could meet its deadline.
constexpr int64_t SampleDivisor = 16;
// Bounds memory. Further keys are predicted from the rules only.
constexpr size_t MaxKeys = 1024;

} // namespace

const records::ClassRule *
RunTimeEstimator::findRule(const std::string &Path) const {
  const records::ClassRule *Best = nullptr;
  for (const records::ClassRule &Rule : Rules)
    if (Path.starts_with(Rule.PathPrefix) &&
        (Best == nullptr || Rule.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Rule;
  return Best;
}

RunEstimate RunTimeEstimator::estimate(const coap::CoapMessage &Request) const {
  const std::string Path = coap::joinPath(Request.Path);
  const records::ClassRule *Rule = findRule(Path);
  RunEstimate Result;
  const std::string Prefix =
      Rule != nullptr ? Rule->PathPrefix : Path.substr(0, Path.find('/', 1));
  Result.Key = coap::toString(Request.MessageCode) + " " + Prefix;
  Result.Expected = DefaultRunTime;
  if (Rule != nullptr) {
    Result.Class = Rule->Class;
    Result.Idempotent = Rule->Idempotent;
    if (Rule->ExpectedRunTime.count() > 0)
      Result.Expected = Rule->ExpectedRunTime;
  }
  const auto Found = StatisticsByKey.find(Result.Key);
  if (Found == StatisticsByKey.end())
    return Result;
  Result.Expected = Found->second.Mean;
  Result.Spread = Found->second.Deviation;
  if (Found->second.Samples < MinSamplesForClass)
    return Result;
  if (Found->second.Mean > ClassMargin * LongThreshold)
    Result.Class = records::WorkClass::Long;
  else if (ClassMargin * Found->second.Mean < LongThreshold)
    Result.Class = records::WorkClass::Short;
  return Result;
}

void RunTimeEstimator::addSample(const std::string &Key, base::Duration Run) {
  if (!StatisticsByKey.contains(Key) && StatisticsByKey.size() >= MaxKeys)
    return;
  Statistics &Entry = StatisticsByKey[Key];
  ++Entry.Samples;
  const int64_t Divisor = std::min<int64_t>(Entry.Samples, SampleDivisor);
  if (Entry.Samples > 1)
    Entry.Deviation +=
        (std::chrono::abs(Run - Entry.Mean) - Entry.Deviation) / Divisor;
  Entry.Mean += (Run - Entry.Mean) / Divisor;
}

} // namespace burdockstream::requests
