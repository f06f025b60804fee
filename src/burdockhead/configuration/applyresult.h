#pragma once

#include <cstdint>
#include <string>

namespace burdockhead {

// Outcome of a configuration change.
enum class ApplyOutcome {
    Accepted,            // At least half of the data centres hold the new version.
    Conflict,            // The platform holds a version other than the base; nothing was changed.
    Invalid,             // The text is not a valid configuration; nothing was changed.
    Unknown,             // It may have been applied, or may still be; retry with the same nonce.
    PlatformUnavailable, // The platform or too many data centres were unreachable before the
                         // write; nothing was changed.
};

// Result of a configuration change, with the platform's version and text as far as known.
struct ApplyResult
{
    ApplyOutcome m_outcome = ApplyOutcome::Unknown;
    std::uint64_t m_version = 0; // The new version if accepted, the current one on a conflict.
    std::string m_text;          // The current text on a conflict.
    std::string m_reason;        // One line for the operator.
};

} // namespace burdockhead
