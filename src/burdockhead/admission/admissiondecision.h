#pragma once

#include <burdockhead/admission/admissionaction.h>

#include <vector>

namespace burdockhead {

enum class AdmissionVerdict {
    Run,     // Hand it to the endpoint now.
    Queued,  // A later Start or Refuse action settles it.
    Refused, // It did not run.
};

// The answer to an offered request, and what else follows from the offer.
struct AdmissionDecision
{
    AdmissionVerdict m_verdict = AdmissionVerdict::Refused;
    ErrorKind m_errorKind = ErrorKind::Overloaded; // When refused.
    TimePoint m_retryAfter;                        // When refused.
    std::vector<AdmissionAction> m_actions;        // A displaced request's refusal, or a probe.

    friend bool operator==(const AdmissionDecision &, const AdmissionDecision &) = default;
};

} // namespace burdockhead
