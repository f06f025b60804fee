#pragma once

#include <burdockhead/base/requestid.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace burdockhead {

// Bounds what an endpoint that has turned cold unnoticed can receive. A request counts as
// unconfirmed from its start until a word of the endpoint that is certain to be later than
// the request's arrival; any such word after a turn would have been a sign of it. So an
// unnoticed turn has at most the unconfirmed requests behind it, and there are never more
// of these than the endpoint carries cold. No clock is involved.
class UnconfirmedWindow
{
public:
    // True while one more unconfirmed request is allowed.
    bool canStart(std::uint32_t limit) const { return m_unconfirmed.size() < limit; }

    // The request is handed to the endpoint.
    void onStarted(const RequestId &id);

    // The request is known to have ended, or its own response's head has come.
    void onConfirmed(const RequestId &id);

    // A probe is sent behind everything that was started; gives its number.
    std::uint64_t startProbe();

    // The probe's answer came: all that was started before it is confirmed. False for an
    // answer to an earlier probe, which confirms nothing.
    bool onProbeResponse(std::uint64_t probeNumber);

    // The present probe is given up.
    void onProbeFailed() { m_isProbeOutstanding = false; }

    // True from a probe's sending to its answer or failure.
    bool isProbeOutstanding() const { return m_isProbeOutstanding; }

    // The number of the latest probe.
    std::uint64_t lastProbeNumber() const { return m_lastProbeNumber; }

private:
    std::unordered_map<RequestId, std::uint64_t> m_unconfirmed; // With the latest probe before.
    std::uint64_t m_lastProbeNumber = 0;
    bool m_isProbeOutstanding = false;
};

} // namespace burdockhead
