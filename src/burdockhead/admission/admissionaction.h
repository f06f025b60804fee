#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/requestid.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// The kinds of work that an admission decision causes at the agent.
enum class AdmissionActionType {
    Start,  // Sends the queued request to the endpoint.
    Refuse, // Rejects the queued request with RunState::NotRun, an error kind and a retry time.
    Cancel, // Cancels the running request at the endpoint; its entry may retry it elsewhere.
    Probe,  // Requests the boot id from the endpoint, after all requests started before.
};

// One step that the agent must carry out after an admission decision.
struct AdmissionAction
{
    AdmissionActionType m_type = AdmissionActionType::Start;
    RequestId m_id;                                // Of the request; unused for a probe.
    ErrorKind m_errorKind = ErrorKind::Overloaded; // For refusals and cancellations.
    TimePoint m_retryAfter; // Time, not delay, from which a retry may be sent; for refusals.
    std::uint64_t m_probeNumber = 0; // To be passed back with the response; for probes.

    friend bool operator==(const AdmissionAction &, const AdmissionAction &) = default;
};

} // namespace burdockhead
