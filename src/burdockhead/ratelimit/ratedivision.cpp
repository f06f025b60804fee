#include <burdockhead/ratelimit/ratedivision.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <tuple>
#include <xxhash.h>

namespace burdockhead {

namespace {

// The platform's bound: so many times what the rate allows in the window, and a few requests more.
// Two of these are left for gateways that know different demands.
constexpr double windowSeconds = 4;
constexpr double toleratedFactor = 1.5;
constexpr double toleratedRequests = 3;
// Lowest rate that is used: single requests find out when an endpoint takes more.
constexpr double minRequestsPerSecond = 0.1;

std::uint64_t hashOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t combine(std::uint64_t left, std::uint64_t right)
{
    const std::uint64_t both[] = {left, right};
    return XXH3_64bits(both, sizeof(both));
}

// Requests at once of a gateway with that part of the rate.
double capacityOf(double requestsPerSecond)
{
    return std::max(1.0, requestsPerSecond);
}

// Returns the most requests that a gateway with that part sends in a window.
double mostInWindow(double requestsPerSecond)
{
    return std::floor(capacityOf(requestsPerSecond) + windowSeconds * requestsPerSecond);
}

} // namespace

RateDivision::RateDivision(const GatewayDemand &local, const std::vector<GatewayDemand> &others)
{
    if (local.m_requests <= 0)
        return;
    m_candidates.push_back(makeCandidate(local, true));
    for (const GatewayDemand &other : others) {
        if (other.m_requests > 0)
            m_candidates.push_back(makeCandidate(other, false));
    }
}

RateDivision::Candidate RateDivision::makeCandidate(const GatewayDemand &demand, bool isLocal)
{
    return {demand.m_requests, std::ilogb(demand.m_requests), hashOf(demand.m_gateway.text()),
            isLocal};
}

RequestPace RateDivision::localPart(double requestsPerSecond, const EndpointName &endpoint) const
{
    if (m_candidates.empty())
        return {};
    const double rate = std::max(requestsPerSecond, minRequestsPerSecond);
    const double tolerated = toleratedFactor * windowSeconds * rate + toleratedRequests;
    std::vector<Candidate> users = m_candidates;
    const auto demand = [&] {
        return std::accumulate(
            users.begin(), users.end(), 0.0,
            [](double sum, const Candidate &user) { return sum + user.m_requests; });
    };
    // Returns how many requests more than tolerated all users may send in a window.
    const auto excess = [&] {
        const double total = demand();
        double requests = 0;
        for (const Candidate &user : users)
            requests += mostInWindow(rate * user.m_requests / total);
        return requests - tolerated;
    };
    if (excess() > 0) {
        const std::uint64_t endpointHash = hashOf(endpoint.text());
        for (Candidate &user : users)
            user.m_hash = combine(user.m_hash, endpointHash);
        std::sort(users.begin(), users.end(), [](const Candidate &left, const Candidate &right) {
            return std::tie(right.m_magnitude, left.m_hash)
                   < std::tie(left.m_magnitude, right.m_hash);
        });
        users.resize(std::min(users.size(), static_cast<std::size_t>(tolerated)));
        // With fewer gateways each has a larger part, so that about half of the excess is removed
        // at a time.
        for (double over = excess(); over > 0 && users.size() > 1; over = excess()) {
            const auto removed = static_cast<std::size_t>(std::ceil(over / 2));
            users.resize(users.size() - std::min(removed, users.size() - 1));
        }
    }
    const auto local = std::find_if(users.begin(), users.end(),
                                    [](const Candidate &user) { return user.m_isLocal; });
    if (local == users.end())
        return {};
    const double part = rate * local->m_requests / demand();
    return {part, capacityOf(part)};
}

} // namespace burdockhead
