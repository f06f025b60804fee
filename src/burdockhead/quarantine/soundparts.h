#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/quarantine/promptpart.h>

#include <list>
#include <map>
#include <optional>

namespace burdockhead {

// Remembers which prompt parts this gateway has seen endpoints answer, and when last. Bounded: the
// parts that were sound the longest time ago are forgotten, since callers choose the parts.
class SoundParts
{
public:
    void record(const PromptPart &part, TimePoint now);

    // Returns when the part was last sound; none if it isn't remembered.
    std::optional<TimePoint> lastAt(const PromptPart &part) const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        PromptPart m_part;
        TimePoint m_at;
    };

    std::list<Entry> m_entries; // The latest first.
    std::map<PromptPart, std::list<Entry>::iterator> m_byPart;
};

} // namespace burdockhead
