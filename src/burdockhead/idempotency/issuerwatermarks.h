#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace burdockhead {

// Stores the highest evicted number of each issuer of increasing numbers. A number at or below it
// without a record may have been seen before and must be treated so.
class IssuerWatermarks
{
public:
    // Tracks at most this many issuers, each for at least the retention time.
    IssuerWatermarks(std::size_t maxIssuers, Duration retention);

    // Raises the issuer's watermark to the evicted number and renews its retention.
    void raise(std::uint64_t issuer, std::uint64_t number, TimePoint now);

    // Returns true if the number may have been seen and evicted.
    bool mayHaveBeenSeen(std::uint64_t issuer, std::uint64_t number) const;

    // Returns true if the issuer is tracked or can be added. Removes expired issuers if the table
    // is full.
    bool canTrack(std::uint64_t issuer, TimePoint now);

private:
    struct Watermark
    {
        std::uint64_t m_number = 0;
        TimePoint m_expiresAt;
    };

    std::size_t m_maxIssuers;
    Duration m_retention;
    std::unordered_map<std::uint64_t, Watermark> m_watermarks;
};

} // namespace burdockhead
