#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/idempotency/claimservice.h>

namespace burdockhead {

// A queued claim and its completion handler.
struct PendingClaim
{
    Claim m_claim;
    TimePoint m_deadline;
    ClaimService::Handler m_handler;
};

} // namespace burdockhead
