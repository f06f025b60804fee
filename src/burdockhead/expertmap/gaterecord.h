#pragma once

#include <burdockhead/expertmap/mapchange.h>

#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// What a rank has decided about changes of its expert map. The engine keeps it beside its
// step counter, so that a restarted agent finds it again; it is stored before any vote that
// it implies is sent.
struct GateRecord
{
    std::uint64_t m_sequence = 0; // One more with each store; an engine that checks refuses others.
    ChangeId m_highest;           // The highest change voted on.
    std::optional<MapChange> m_promise; // Promised, verdict unknown: no step from there on.
    MapChange m_live;                   // The last change that went live.

    // The map's version that a step uses.
    std::uint64_t versionAt(std::uint64_t step) const
    {
        return step < m_live.m_step ? m_live.m_baseVersion : m_live.m_version;
    }

    // The first step that must not begin; 0 is none.
    std::uint64_t stepLimit() const { return m_promise ? m_promise->m_step : 0; }

    // The record as bytes, and back; none when malformed. No bytes are an empty record.
    std::string encode() const;
    static std::optional<GateRecord> decode(std::string_view bytes);

    friend bool operator==(const GateRecord &, const GateRecord &) = default;
};

} // namespace burdockhead
