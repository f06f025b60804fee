#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Limits that apply to all gateways together or are set by the platform.
struct GatewayBounds
{
    double m_retryRatio = 0.2;         // Retries for each request of a service.
    double m_retryBurst = 50;          // Retries in a window that are always allowed.
    Milliseconds m_retryWindow{10000}; // The window in which retries are counted.
    double m_coldBurst = 1.5;          // Multiple of the rate that a cold endpoint sustains.
    Milliseconds m_leaveTime{2000};    // A removed endpoint gets no requests after this.
    Milliseconds m_stopGrace{8000};    // From SIGTERM until the process is killed.

    friend bool operator==(const GatewayBounds &, const GatewayBounds &) = default;
};

} // namespace burdockhead
