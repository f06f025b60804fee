#pragma once

#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace burdockhead {

// What an agent may let run and wait at its endpoint.
struct AdmissionLimits
{
    std::uint32_t m_coldLimit = 1;       // Requests that the endpoint carries in cold start.
    std::uint32_t m_warmLimit = 8;       // Requests that the warm endpoint runs at a time.
    std::uint32_t m_queueLimit = 16;     // Requests that may wait.
    Milliseconds m_maxRetryDelay{30000}; // A refused caller is asked back at most this late.
    Milliseconds m_probeTimeout{500};    // An unanswered probe counts as failed after this.

    // Requests that may be sent before the endpoint is heard of again. None: the cold limit,
    // more than which an endpoint that turned cold unnoticed can't carry.
    std::optional<std::uint32_t> m_unconfirmedLimit;

    friend auto operator<=>(const AdmissionLimits &, const AdmissionLimits &) = default;
};

} // namespace burdockhead
