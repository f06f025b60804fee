#pragma once

namespace burdockhead {

// How a request's run at the endpoint ended.
enum class RunOutcome {
    Completed, // The whole answer came.
    Failed,    // The endpoint failed it, or it was cancelled and is known to have ended.
};

} // namespace burdockhead
