#pragma once

#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstdint>

namespace burdockhead {

// What an entry of a data centre said about its configuration.
struct DataCentreReport
{
    std::uint64_t m_version = 0;       // In force in that entry.
    TimePoint m_requestedAt;           // When the question was sent; the answer is later.
    bool m_isNonAuthoritative = false; // The entry was not current itself when it answered.

    friend auto operator<=>(const DataCentreReport &, const DataCentreReport &) = default;
};

} // namespace burdockhead
