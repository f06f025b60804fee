#pragma once

#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstdint>

namespace burdockhead {

// The configuration version that an entry reported for its data centre.
struct DataCentreReport
{
    std::uint64_t m_version = 0;       // Applied in that entry.
    TimePoint m_requestedAt;           // When the request was sent, which is before the reply.
    bool m_isNonAuthoritative = false; // The entry may have missed accepted versions.

    friend auto operator<=>(const DataCentreReport &, const DataCentreReport &) = default;
};

} // namespace burdockhead
