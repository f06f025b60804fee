#pragma once

#include <burdockhead/quarantine/crashreport.h>
#include <burdockhead/quarantine/quarantinetable.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockhead {

// What gateways tell one another of crashes and of the prompt parts that may cause them. Times are
// sent as ages, since the clocks of VMs differ.
struct QuarantineMessage
{
    std::vector<CrashReport> m_crashes;
    std::vector<std::pair<PromptPart, TimePoint>> m_soundParts; // Suspects, and when last sound.
    std::vector<QuarantineEntry> m_entries;

    bool isEmpty() const { return m_crashes.empty() && m_soundParts.empty() && m_entries.empty(); }

    friend bool operator==(const QuarantineMessage &, const QuarantineMessage &) = default;
};

// Convert to and from a datagram that is sent or received at that time; none if it can't be read.
std::string writeQuarantineMessage(const QuarantineMessage &message, TimePoint now);
std::optional<QuarantineMessage> readQuarantineMessage(std::string_view datagram, TimePoint now);

} // namespace burdockhead
