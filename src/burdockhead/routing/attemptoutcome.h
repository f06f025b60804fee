#pragma once

namespace burdockhead {

// How an attempt at an endpoint ended, as an entry learns it.
enum class AttemptOutcome {
    Completed,
    RefusedNotRun, // The agent refused; nothing ran.
    Failed,        // The endpoint answered with a failure.
    Unreachable,   // No answer from the agent: the link broke or timed out.
    Cancelled,     // The caller gave up or a hedge won.
};

} // namespace burdockhead
