#pragma once

#include <cstdint>
#include <string>

namespace burdockhead {

// How a change of the configuration ended.
enum class ApplyOutcome {
    Accepted,            // In force: at least half of the data centres hold it.
    Conflict,            // Another version is in the platform; nothing was changed.
    Invalid,             // The text is not a valid configuration; nothing was changed.
    Unknown,             // It may be in force now or later; ask again with the same nonce.
    PlatformUnavailable, // The platform or too many data centres were out of reach before
                         // anything was written; nothing was changed.
};

// A change's outcome, with the version and text that are in the platform as far as known.
struct ApplyResult
{
    ApplyOutcome m_outcome = ApplyOutcome::Unknown;
    std::uint64_t m_version = 0; // The new version if accepted, the current one on a conflict.
    std::string m_text;          // The current text on a conflict.
    std::string m_reason;        // One line for a person.
};

} // namespace burdockhead
