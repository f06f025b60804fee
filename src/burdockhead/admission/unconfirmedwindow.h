#pragma once

#include <burdockhead/base/requestid.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace burdockhead {

// Bounds the load that an endpoint can receive during an undetected cold start. A request is
// unconfirmed from its start until a message arrives that the endpoint certainly sent after it had
// received the request; if the endpoint had become cold before, that message would have revealed
// it. So only the unconfirmed requests can have been sent since an undetected cold start
// began, and their number never exceeds the cold limit. This relies on no clock.
class UnconfirmedWindow
{
public:
    // Returns true while another unconfirmed request is allowed.
    bool canStart(std::uint32_t limit) const { return m_unconfirmed.size() < limit; }

    // Marks a request as unconfirmed when it is sent to the endpoint.
    void onStarted(const RequestId &id);

    // Confirms a request whose end is known or whose response head was received.
    void onConfirmed(const RequestId &id);

    // Starts a probe, which is sent after all requests started so far; returns its number.
    std::uint64_t startProbe();

    // Confirms all requests that were started before the probe. Returns false for a response to
    // an earlier probe, which confirms nothing.
    bool onProbeResponse(std::uint64_t probeNumber);

    // Abandons the outstanding probe.
    void onProbeFailed() { m_isProbeOutstanding = false; }

    // Returns true while a probe has neither a response nor failed.
    bool isProbeOutstanding() const { return m_isProbeOutstanding; }

    // Returns the number of the last probe.
    std::uint64_t lastProbeNumber() const { return m_lastProbeNumber; }

private:
    std::unordered_map<RequestId, std::uint64_t>
        m_unconfirmed; // With the last probe number at their start.
    std::uint64_t m_lastProbeNumber = 0;
    bool m_isProbeOutstanding = false;
};

} // namespace burdockhead
