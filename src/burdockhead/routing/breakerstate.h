#pragma once

namespace burdockhead {

// Which attempts a circuit breaker allows.
enum class BreakerState {
    Closed,   // All attempts.
    Open,     // None until the open time has elapsed.
    HalfOpen, // One probe at a time.
};

} // namespace burdockhead
