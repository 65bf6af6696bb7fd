#include "burdockstream/requests/Hooks.h"

#include "burdockstream/base/NameTable.h"

namespace burdockstream::requests {

namespace {

using C = Counter;

constexpr base::NameTable<C, 28>
    CounterNames({{{C::CallerMalformed, "caller_malformed"},
                   {C::WrongService, "wrong_service"},
                   {C::Duplicate, "duplicate"},
                   {C::PassedToOwner, "passed_to_owner"},
                   {C::DroppedNotOwner, "dropped_not_owner"},
                   {C::DroppedHeld, "dropped_held"},
                   {C::Accepted, "accepted"},
                   {C::Answered, "answered"},
                   {C::RefusedNotRun, "refused_not_run"},
                   {C::RefusedUnknown, "refused_unknown"},
                   {C::RefusedInvalid, "refused_invalid"},
                   {C::CancelledByCaller, "cancelled_by_caller"},
                   {C::DeadlineInQueue, "deadline_in_queue"},
                   {C::DeadlineRunning, "deadline_running"},
                   {C::EndpointShed, "endpoint_shed"},
                   {C::EndpointDead, "endpoint_dead"},
                   {C::EndpointMalformed, "endpoint_malformed"},
                   {C::Retried, "retried"},
                   {C::RetryBudgetEmpty, "retry_budget_empty"},
                   {C::Moved, "moved"},
                   {C::MoveRefused, "move_refused"},
                   {C::MoveLost, "move_lost"},
                   {C::Undelivered, "undelivered"},
                   {C::NotificationSent, "notification_sent"},
                   {C::UpdateDuplicate, "update_duplicate"},
                   {C::UpdateGap, "update_gap"},
                   {C::UpdateGapAccepted, "update_gap_accepted"},
                   {C::SubscriptionDropped, "subscription_dropped"}}});

} // namespace

std::string_view toString(Counter Value) { return CounterNames.name(Value); }

} // namespace burdockstream::requests
