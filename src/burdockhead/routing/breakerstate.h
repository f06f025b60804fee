#pragma once

namespace burdockhead {

// What a circuit breaker lets through.
enum class BreakerState {
    Closed,   // Everything.
    Open,     // Nothing until its time is over.
    HalfOpen, // One probe at a time.
};

} // namespace burdockhead
