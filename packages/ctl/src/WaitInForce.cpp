#include "WaitInForce.h"

#include "ResponseTable.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <vector>

namespace burdockstream::ctl::detail {

namespace {

// A record reaches all balancers within 3 s, so ten polls per second report it
// promptly and add no noticeable load to them.
constexpr base::Duration PollInterval = std::chrono::milliseconds(100);

// The minimum time limit of a poll, so that a balancer with a long round trip
// can respond to the last one, when little of the wait remains.
constexpr base::Duration MinCallTimeout = std::chrono::milliseconds(100);

using AddressSet = std::set<base::SocketAddress>;

// Adds the control address of Member unless it is dead or stopped.
void insertControlAddress(const Json::Value &Member, AddressSet &Out) {
  if (!Member.isObject() || !Member["control"].isString() ||
      Member["state"] == "dead" || Member["state"] == "stopped")
    return;
  const auto Control = base::parseSocketAddress(Member["control"].asString());
  if (Control.has_value())
    Out.insert(Control.value());
}

// Returns the control addresses of the balancer that returned Status and of
// those in its member list.
AddressSet liveBalancers(const Json::Value &Status) {
  AddressSet Balancers;
  insertControlAddress(Status, Balancers);
  if (Status.isObject() && Status["balancers"].isArray())
    for (const Json::Value &Member : Status["balancers"])
      insertControlAddress(Member, Balancers);
  return Balancers;
}

// Returns the reason why the record is not in force at the balancer that
// returned Status, or an empty string if it is.
std::string missingReason(const admin::RpcResult &Status,
                          const std::string &Service, base::Revision Revision) {
  if (Status.has_error())
    return Status.error().Message;
  if (!Status.value().isObject())
    return unexpectedFormat("status").Message;
  const Json::Value &Revisions = Status.value()["revisions"];
  if (!Revisions.isObject() || !Revisions[Service].isInt64())
    return "has no record";
  const base::Revision Current = Revisions[Service].asInt64();
  return Current >= Revision ? "" : "is at revision " + std::to_string(Current);
}

} // namespace

base::Result<InForceResult> waitInForce(const Hooks &Hooks,
                                        const std::string &Service,
                                        base::Revision Revision,
                                        base::Duration Limit) {
  const base::TimePoint End = Hooks.Now() + Limit;
  AddressSet Live;
  AddressSet Updated; // not polled again: a record in force never reverts
  for (;;) {
    const auto Members = Hooks.Call("status", Json::objectValue);
    if (Members.has_value())
      Live = liveBalancers(Members.value());
    if (Live.empty() && Hooks.Now() >= End)
      return Members.has_error() ? Members.error() : unexpectedFormat("status");
    std::vector<base::SocketAddress> Pending;
    std::set_difference(Live.begin(), Live.end(), Updated.begin(),
                        Updated.end(), std::back_inserter(Pending));
    InForceResult Result{Live.size(), {}};
    const base::Duration Remaining =
        std::max(End - Hooks.Now(), MinCallTimeout);
    const auto Responses = Hooks.CallEach(Pending, "status", Remaining);
    for (size_t I = 0; I < Pending.size(); ++I) {
      const std::string Reason = missingReason(Responses[I], Service, Revision);
      if (Reason.empty())
        Updated.insert(Pending[I]);
      else
        Result.Missing[Pending[I]] = Reason;
    }
    const bool Complete = !Live.empty() && Result.Missing.empty();
    if (Complete || (!Live.empty() && Hooks.Now() >= End))
      return Result;
    Hooks.Sleep(PollInterval);
  }
}

} // namespace burdockstream::ctl::detail
