#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/quarantine/promptpart.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// The quarantine of one prompt part, as the gateways tell it one another.
struct QuarantineEntry
{
    PromptPart m_part;
    std::uint64_t m_revision = 0; // Increases with each change; the highest one is in force.
    bool m_isActive = false;
    unsigned m_level = 0;      // How many times in a row it was imposed.
    TimePoint m_changedAt;     // When it was imposed or lifted.
    TimePoint m_probeAt;       // From then on single requests with the part are tried.
    std::size_t m_outages = 0; // That led to it.
    ProcessName m_decidedBy;   // The gateway that imposed or lifted it.

    friend bool operator==(const QuarantineEntry &, const QuarantineEntry &) = default;
};

// Holds which prompt parts are refused. A quarantine doesn't end by itself: after some time single
// requests are tried, it is lifted when one of them is sound, and lasts twenty times as long when
// one crashes its endpoint.
class QuarantineTable
{
public:
    // Imposes a quarantine, or the next level of one, and returns it.
    QuarantineEntry impose(const PromptPart &part, std::size_t outages, const ProcessName &by,
                           TimePoint now);

    // Lifts a quarantine and returns it; none if the part isn't in quarantine.
    std::optional<QuarantineEntry> lift(const PromptPart &part, const ProcessName &by,
                                        TimePoint now);

    // Merges an entry of another gateway or of the store; returns whether it is newer.
    bool merge(const QuarantineEntry &entry);

    // Returns the active quarantine of the part; null if there is none.
    const QuarantineEntry *findActive(const PromptPart &part) const;

    const std::map<PromptPart, QuarantineEntry> &entries() const { return m_entries; }
    std::size_t activeCount() const;

private:
    void removeExcess();

    std::map<PromptPart, QuarantineEntry> m_entries;
};

} // namespace burdockhead
