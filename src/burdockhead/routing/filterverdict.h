#pragma once

namespace burdockhead {

// Whether a replica may be chosen for a request and, if not, the reason.
enum class FilterVerdict {
    Permitted,
    NotEligible, // Not configured, not running, or already tried.
    Leaving,
    DataCentreOut,
    BreakerOpen,        // Its circuit breaker or its data centre's allows no attempt.
    ColdShareExhausted, // Share of a cold replica or a recovering data centre.
    QueueFull,
};

} // namespace burdockhead
