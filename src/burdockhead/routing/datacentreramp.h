#pragma once

#include <cstdint>

namespace burdockhead {

// Limits an entry's requests in flight in a recovering data centre. The window starts at the
// entry's share of the endpoints' cold capacity, grows with each completed request, halves with
// each failure, and ends at the share of their warm capacity.
class DataCentreRamp
{
public:
    // Restarts the ramp with the entry's cold and warm shares, in requests.
    void begin(double coldShare, double warmShare);

    // Record the end of an attempt in the data centre.
    void onCompleted();
    void onFailed();

    // Returns whether another request may be sent, given the number in flight.
    bool permits(std::uint32_t inFlight) const { return !m_isActive || inFlight < m_window; }

    // Returns whether the data centre is still ramping up.
    bool isActive() const { return m_isActive; }

    // Returns the limit on requests in flight during the ramp.
    double window() const { return m_window; }

private:
    bool m_isActive = false;
    double m_window = 0;
    double m_coldShare = 0;
    double m_warmShare = 0;
};

} // namespace burdockhead
