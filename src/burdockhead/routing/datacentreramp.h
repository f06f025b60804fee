#pragma once

#include <cstdint>

namespace burdockhead {

// Bounds what an entry has in flight in a data centre that comes back. Starts at the
// entry's share of what the endpoints carry while cold, grows with each completed request
// and shrinks with each failure, until the share of what they carry warm is reached.
class DataCentreRamp
{
public:
    // Starts over, with the entry's shares in requests.
    void begin(double coldShare, double warmShare);

    // Notes the end of an attempt in the data centre.
    void noteCompleted();
    void noteFailed();

    // Whether one more may be sent beside those in flight.
    bool permits(std::uint32_t inFlight) const { return !m_active || inFlight < m_window; }

    // Whether the data centre is still coming back.
    bool isActive() const { return m_active; }

    // Requests that may be in flight while it comes back.
    double window() const { return m_window; }

private:
    bool m_active = false;
    double m_window = 0;
    double m_coldShare = 0;
    double m_warmShare = 0;
};

} // namespace burdockhead
