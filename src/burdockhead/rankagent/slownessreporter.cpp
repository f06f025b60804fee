#include <burdockhead/rankagent/slownessreporter.h>

#include <utility>

namespace burdockhead {

namespace {

// Smaller factors make no difference that is worth a report.
constexpr double minFactor = 1.2;
// Interval at which a report is repeated; gateways forget one after three of them.
constexpr Milliseconds repeatInterval{1000};

} // namespace

void SlownessReporter::record(std::uint32_t rank, const SocketAddress &engine, double factor)
{
    if (factor >= minFactor)
        m_slowRanks[rank] = {engine, factor};
    else
        m_slowRanks.erase(rank);
}

std::optional<SlownessReport> SlownessReporter::nextReport(TimePoint now)
{
    std::vector<EndpointSlowness> slow;
    for (const auto &[rank, slowness] : m_slowRanks)
        slow.push_back(slowness);
    const bool isNew = slow != m_reported;
    if (!isNew && (slow.empty() || now < m_repeatAt))
        return std::nullopt;
    m_reported = slow;
    m_repeatAt = now + repeatInterval;
    return SlownessReport{std::move(slow), isNew};
}

} // namespace burdockhead
