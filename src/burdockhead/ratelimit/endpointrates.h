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

// Returns the change as an event of the log.
const char *toString(RateChange change);

// Where a gateway has a statement from.
enum class RateSource : std::uint8_t {
    Response, // Of the endpoint.
    Gateway,  // Another one.
};

// A change that operators should see.
struct RateEvent
{
    RateChange m_change = RateChange::None;
    RateSource m_source = RateSource::Response;
    RateStatement m_statement;

    friend bool operator==(const RateEvent &, const RateEvent &) = default;
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
    // Merges a statement.
    RateChange record(const RateStatement &statement, RateSource source);

    // Returns the rate that the endpoint names; none if it takes any.
    std::optional<double> rateOf(const EndpointRun &endpoint) const;

    // Returns what is known, with rates that have ended lately.
    std::vector<RateStatement> statements() const;

    // Returns the changes since the last call, and whether any came from a response, so that the
    // other gateways should be told at once.
    std::vector<RateEvent> takeEvents();
    bool hasNews() const;

    // Forgets ended rates after a while, and those that nobody has renewed for long.
    void removeExpired(TimePoint now);

private:
    RateChange merge(const RateStatement &statement);

    std::map<EndpointRun, RateStatement> m_statements;
    std::vector<RateEvent> m_events;
};

} // namespace burdockhead
