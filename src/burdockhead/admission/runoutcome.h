#pragma once

namespace burdockhead {

// How a request ended at the endpoint.
enum class RunOutcome {
    Completed, // The whole response was received.
    Failed,    // It failed at the endpoint, or was cancelled and its end is confirmed.
};

} // namespace burdockhead
