#pragma once

namespace burdockhead {

// Evidence that the endpoint may be in cold start.
enum class ColdStartSignal {
    ConnectionReset, // A connection to the endpoint broke.
    NewBootId,       // A response had a new boot id or reported a cold start.
    ProbeFailed,     // A probe got no response. The endpoint may only be slow.
};

} // namespace burdockhead
