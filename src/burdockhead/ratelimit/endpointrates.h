#pragma once

#include <burdockhead/ratelimit/ratestatement.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// What a statement changes.
enum class RateChange : std::uint8_t {
    None,
    Learned, // The endpoint names a rate, and named none before.
    Changed, // It names another rate.
    Ended,   // It names no rate any more.
};

// Returns a rate for a log line, in requests per second, or "none".
std::string rateText(const std::optional<double> &requestsPerSecond);

// The rates that endpoints name while they are in need, from this gateway's responses and those of
// others. A rate belongs to one run of an endpoint, and holds until the endpoint says otherwise.
// Responses overtake each other: of two statements whose times overlap the stricter one holds, and
// only one whose request was sent later ends a rate or raises it.
class EndpointRates
{
public:
    // Merges a statement of any gateway.
    RateChange record(const RateStatement &statement);

    // Returns the rate that the endpoint names; none if it takes any.
    std::optional<double> rateOf(const EndpointRun &endpoint) const;

    // Returns what is known, with rates that have ended lately.
    std::vector<RateStatement> statements() const;

    // Forgets ended rates after a while, and those that nobody has renewed for long.
    void removeExpired(TimePoint now);

private:
    std::map<EndpointRun, RateStatement> m_statements;
};

} // namespace burdockhead
