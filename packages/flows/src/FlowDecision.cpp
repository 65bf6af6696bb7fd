#include "burdockstream/flows/FlowDecision.h"

#include "burdockstream/base/NameTable.h"

namespace burdockstream::flows {

namespace {

constexpr base::NameTable<DecisionKind, DecisionKinds> KindNames({{
    {DecisionKind::Placed, "placed"},
    {DecisionKind::PlacedAgain, "placed_again"},
    {DecisionKind::RefusedNoRoute, "refused_no_route"},
    {DecisionKind::RefusedNoTarget, "refused_no_target"},
    {DecisionKind::DroppedNoRoute, "dropped_no_route"},
    {DecisionKind::Searched, "searched"},
    {DecisionKind::Found, "found"},
    {DecisionKind::ResetUnheld, "reset_unheld"},
    {DecisionKind::ResetLost, "reset_lost"},
    {DecisionKind::SearchExpired, "search_expired"},
    {DecisionKind::Unsettled, "unsettled"},
    {DecisionKind::Delivered, "delivered"},
    {DecisionKind::NotDelivered, "not_delivered"},
    {DecisionKind::WaitExpired, "wait_expired"},
    {DecisionKind::AskedAgain, "asked_again"},
    {DecisionKind::HeldBack, "held_back"},
    {DecisionKind::GivenUp, "given_up"},
    {DecisionKind::RefusedBusy, "refused_busy"},
}});

} // namespace

std::string_view toString(DecisionKind Kind) { return KindNames.name(Kind); }

} // namespace burdockstream::flows
