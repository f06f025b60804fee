#pragma once

#include <burdockhead/expertmap/mapchange.h>

#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// A rank's votes on changes of its expert map. The engine stores it with the step counter, so that
// it survives a restart of the agent. It is stored before any vote that it implies is sent.
struct VoteRecord
{
    std::uint64_t m_sequence = 0; // Incremented with each store; engines may reject stale ones.
    ChangeId m_highestVotedId;    // The highest change that the rank has voted on.
    std::optional<MapChange> m_promisedChange; // Outcome unknown: its first step must not begin.
    MapChange m_committedChange;               // The last committed change.

    // Returns the version of the map that a step uses.
    std::uint64_t versionAt(std::uint64_t step) const
    {
        return step < m_committedChange.m_firstStep ? m_committedChange.m_baseVersion
                                                    : m_committedChange.m_version;
    }

    // Returns the first step that must not begin; 0 if there is none.
    std::uint64_t stepLimit() const { return m_promisedChange ? m_promisedChange->m_firstStep : 0; }

    // Serializes the record, and parses it; parsing fails if the bytes are malformed. No bytes
    // yield an empty record.
    std::string encode() const;
    static std::optional<VoteRecord> decode(std::string_view bytes);

    friend bool operator==(const VoteRecord &, const VoteRecord &) = default;
};

} // namespace burdockhead
