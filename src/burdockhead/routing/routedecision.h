#pragma once

#include <burdockhead/routing/routerefusal.h>
#include <burdockhead/routing/routetarget.h>

#include <optional>

namespace burdockhead {

// Result of a routing decision: exactly one of target and refusal is set.
struct RouteDecision
{
    std::optional<RouteTarget> m_target;
    std::optional<RouteRefusal> m_refusal;

    friend bool operator==(const RouteDecision &, const RouteDecision &) = default;
};

} // namespace burdockhead
