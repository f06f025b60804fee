#pragma once

#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace burdockhead {

// Limits of one endpoint's admission control.
struct AdmissionLimits
{
    std::uint32_t m_coldLimit = 1;       // Concurrency limit during cold start.
    std::uint32_t m_warmLimit = 8;       // Concurrency limit of a warm endpoint.
    std::uint32_t m_queueLimit = 16;     // Maximum number of queued requests.
    Milliseconds m_maxRetryDelay{30000}; // Upper bound of the retry delay for refused requests.
    Milliseconds m_probeTimeout{500};    // A probe without a response fails after this time.

    // Maximum number of requests started since the last evidence that the endpoint is warm.
    // Without a value the cold limit applies: an endpoint in an undetected cold start cannot
    // handle more.
    std::optional<std::uint32_t> m_unconfirmedLimit;

    friend auto operator<=>(const AdmissionLimits &, const AdmissionLimits &) = default;
};

} // namespace burdockhead
