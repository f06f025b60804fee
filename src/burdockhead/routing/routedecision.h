#pragma once

#include <burdockhead/routing/routerefusal.h>
#include <burdockhead/routing/routetarget.h>

#include <optional>

namespace burdockhead {

// Where a request goes, or why it goes nowhere: exactly one of the two is set.
struct RouteDecision
{
    std::optional<RouteTarget> m_target;
    std::optional<RouteRefusal> m_refusal;

    friend bool operator==(const RouteDecision &, const RouteDecision &) = default;
};

} // namespace burdockhead
