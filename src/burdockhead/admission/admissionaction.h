#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/requestid.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

enum class AdmissionActionType {
    Start,  // Hand the queued request to the endpoint.
    Refuse, // Answer the queued request as not run, with the kind and the time to come back.
    Cancel, // Cancel the running request at the endpoint; its entry may move it.
    Probe,  // Ask the endpoint for its boot id, after everything started before.
};

// What the agent has to do after a decision.
struct AdmissionAction
{
    AdmissionActionType m_type = AdmissionActionType::Start;
    RequestId m_id;                                // Of a request; unused for a probe.
    ErrorKind m_errorKind = ErrorKind::Overloaded; // For refusals and cancellations.
    TimePoint m_retryAfter;                        // For refusals.
    std::uint64_t m_probeNumber = 0;               // For probes: the number to answer with.

    friend bool operator==(const AdmissionAction &, const AdmissionAction &) = default;
};

} // namespace burdockhead
