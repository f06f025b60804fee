#pragma once

namespace burdockhead {

// Outcome of an attempt at an endpoint, as seen by an entry.
enum class AttemptOutcome {
    Completed,
    RefusedNotRun, // The agent rejected the request; nothing ran.
    Failed,        // The endpoint returned an error.
    Unreachable,   // No reply from the agent: the connection failed or timed out.
    Cancelled,     // The caller disconnected or another attempt finished first.
};

} // namespace burdockhead
