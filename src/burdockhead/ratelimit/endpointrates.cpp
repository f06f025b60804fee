#include <burdockhead/ratelimit/endpointrates.h>

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace burdockhead {

namespace {

// More endpoints than this aren't remembered, so that statements don't fill the memory.
constexpr std::size_t maxEndpoints = 4096;
// An ended rate is remembered until older statements no longer arrive.
constexpr Milliseconds endedRememberedFor{60000};
// Endpoints that nobody has asked for this long are gone, or get no requests.
constexpr Milliseconds rememberedFor{600000};
// A statement that other gateways pass on becomes later by its ways; that is no news.
constexpr Milliseconds repeatedAfter{100};
// Changes that are kept until they are taken.
constexpr std::size_t maxEvents = 256;

// Returns whether the rate of `left` is lower; none is higher than any.
bool isStricter(const RateStatement &left, const RateStatement &right)
{
    if (!left.m_requestsPerSecond)
        return false;
    return !right.m_requestsPerSecond || *left.m_requestsPerSecond < *right.m_requestsPerSecond;
}

} // namespace

const char *toString(RateChange change)
{
    switch (change) {
    case RateChange::Learned:
        return "rate_learned";
    case RateChange::Changed:
        return "rate_changed";
    case RateChange::Ended:
        return "rate_ended";
    case RateChange::None:
        break;
    }
    return "rate_unchanged";
}

std::string rateText(const std::optional<double> &requestsPerSecond)
{
    return requestsPerSecond ? fmt::format("{:.3g}", *requestsPerSecond) : "none";
}

RateChange EndpointRates::record(const RateStatement &statement, RateSource source)
{
    const RateChange change = merge(statement);
    if (change != RateChange::None && m_events.size() < maxEvents)
        m_events.push_back({change, source, statement});
    return change;
}

RateChange EndpointRates::merge(const RateStatement &statement)
{
    const auto found = m_statements.find(statement.m_endpoint);
    if (found == m_statements.end()) {
        if (!statement.m_requestsPerSecond || m_statements.size() >= maxEndpoints)
            return RateChange::None;
        m_statements.emplace(statement.m_endpoint, statement);
        return RateChange::Learned;
    }
    RateStatement &current = found->second;
    const bool isLater = statement.m_requestedAt >= current.m_respondedAt;
    const bool isEarlier = statement.m_respondedAt <= current.m_requestedAt;
    const bool isSame = statement.m_requestsPerSecond == current.m_requestsPerSecond;
    if (isEarlier || (!isLater && !isSame && !isStricter(statement, current)))
        return RateChange::None;
    if (isSame && statement.m_respondedAt <= current.m_respondedAt + repeatedAfter)
        return RateChange::None;
    const bool hadRate = current.m_requestsPerSecond.has_value();
    current = statement;
    if (isSame)
        return RateChange::None;
    if (!statement.m_requestsPerSecond)
        return RateChange::Ended;
    return hadRate ? RateChange::Changed : RateChange::Learned;
}

std::optional<double> EndpointRates::rateOf(const EndpointRun &endpoint) const
{
    const auto found = m_statements.find(endpoint);
    return found == m_statements.end() ? std::nullopt : found->second.m_requestsPerSecond;
}

std::vector<RateStatement> EndpointRates::statements() const
{
    std::vector<RateStatement> statements;
    for (const auto &[endpoint, statement] : m_statements)
        statements.push_back(statement);
    return statements;
}

std::vector<RateEvent> EndpointRates::takeEvents()
{
    return std::exchange(m_events, {});
}

bool EndpointRates::hasNews() const
{
    return std::any_of(m_events.begin(), m_events.end(), [](const RateEvent &event) {
        return event.m_source == RateSource::Response;
    });
}

void EndpointRates::removeExpired(TimePoint now)
{
    std::erase_if(m_statements, [&](const auto &item) {
        const RateStatement &statement = item.second;
        return now >= statement.m_respondedAt
                          + (statement.m_requestsPerSecond ? rememberedFor : endedRememberedFor);
    });
}

} // namespace burdockhead
