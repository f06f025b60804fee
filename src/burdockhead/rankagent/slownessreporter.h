#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/endpointslowness.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// The ranks that gateways are told to be slow.
struct SlownessReport
{
    std::vector<EndpointSlowness> m_ranks;
    bool m_isNew = false; // Differs from the previous report.

    friend bool operator==(const SlownessReport &, const SlownessReport &) = default;
};

// Decides when a group's coordinator tells gateways which ranks are slow. All streams of a group
// wait for its slowest rank in each step, so gateways have to send that rank less at once. Reports
// are repeated while a rank is slow, since a gateway forgets them soon.
class SlownessReporter
{
public:
    // Records what a rank's engine reports of itself.
    void record(std::uint32_t rank, const SocketAddress &engine, double factor);

    // Returns what to report now, which may be no rank; no value if nothing needs to be said.
    std::optional<SlownessReport> nextReport(TimePoint now);

private:
    std::map<std::uint32_t, EndpointSlowness> m_slowRanks;
    std::vector<EndpointSlowness> m_reported;
    TimePoint m_repeatAt;
};

} // namespace burdockhead
