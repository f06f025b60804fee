#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Bounds that hold over the whole fleet or are set by the platform.
struct GatewayBounds
{
    double m_retryRatio = 0.2;         // Further attempts for each request of a service.
    double m_retryBurst = 50;          // Further attempts in a window that are always allowed.
    Milliseconds m_retryWindow{10000}; // The span in which they are counted.
    double m_coldBurst = 1.5;          // Times what a cold endpoint bears in a second.
    Milliseconds m_leaveTime{2000};    // An endpoint that is gone gets nothing after this.
    Milliseconds m_stopGrace{8000};    // From SIGTERM until the process is killed.

    friend bool operator==(const GatewayBounds &, const GatewayBounds &) = default;
};

} // namespace burdockhead
