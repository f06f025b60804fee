#pragma once

#include <burdockhead/base/socketaddress.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Target of a rank report at a gateway's address for peers.
inline constexpr const char *rankReportTarget = "/ranks";

// An endpoint that needs more time for the same work than a healthy one.
struct EndpointSlowness
{
    SocketAddress m_address;
    double m_factor = 1; // Its time, relative to that of a healthy endpoint.

    friend bool operator==(const EndpointSlowness &, const EndpointSlowness &) = default;
};

// What the coordinator of a group tells gateways of its ranks.
struct RankReport
{
    std::string m_group;
    std::vector<EndpointSlowness> m_slowRanks; // None if all are healthy.

    friend bool operator==(const RankReport &, const RankReport &) = default;
};

// Encode and decode the body of a rank report; none if the bytes are malformed.
std::string writeRankReport(const RankReport &report);
std::optional<RankReport> readRankReport(std::string_view body);

} // namespace burdockhead
