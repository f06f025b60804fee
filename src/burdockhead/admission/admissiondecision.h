#pragma once

#include <burdockhead/admission/admissionaction.h>

#include <vector>

namespace burdockhead {

// What happens to a request that was offered to the admission controller.
enum class AdmissionVerdict {
    Run,     // Must be sent to the endpoint now.
    Queued,  // Waits until a Start or Refuse action.
    Refused, // Rejected without having run.
};

// The verdict on an offered request, and the actions that it causes for other requests.
struct AdmissionDecision
{
    AdmissionVerdict m_verdict = AdmissionVerdict::Refused;
    ErrorKind m_errorKind = ErrorKind::Overloaded; // Set when refused.
    TimePoint m_retryAfter; // Time, not delay, from which a retry may be sent.
    std::vector<AdmissionAction>
        m_actions; // Such as the refusal of an evicted request, or a probe.

    friend bool operator==(const AdmissionDecision &, const AdmissionDecision &) = default;
};

} // namespace burdockhead
