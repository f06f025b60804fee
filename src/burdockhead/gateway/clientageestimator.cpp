#include <burdockhead/gateway/clientageestimator.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Upper bound of the remembered routes, so that ever new ones don't exhaust memory: several times
// as many as large configurations have.
constexpr std::size_t maxRoutes = 8192;
// Before any request, first attempts are assumed to have at least this fraction of the longest
// time, with the weight of this many requests.
constexpr double assumedShortestFraction = 0.8;
constexpr double assumedRequests = 20;
// Weight of the requests so far at each new one; about the last thousand count.
constexpr double decayPerRequest = 0.999;
// A fraction is one of first attempts while this share of the most frequent one's requests has it.
constexpr double minRelativeFrequency = 0.2;

} // namespace

ClientAgeEstimator::ClientAgeEstimator()
{
    const auto first = static_cast<std::size_t>(assumedShortestFraction * binCount);
    for (std::size_t bin = first; bin < binCount; ++bin)
        m_bins[bin] = assumedRequests / static_cast<double>(binCount - first);
}

Milliseconds ClientAgeEstimator::estimateAge(const std::string &route, Milliseconds remainingTime)
{
    if (m_maxRemainingTimes.size() >= maxRoutes)
        m_maxRemainingTimes.clear();
    Milliseconds &maxRemainingTime = m_maxRemainingTimes[route];
    maxRemainingTime = std::max({maxRemainingTime, remainingTime, Milliseconds(1)});
    const double fraction = std::max(0.0, std::chrono::duration<double>(remainingTime)
                                              / std::chrono::duration<double>(maxRemainingTime));
    record(fraction);
    const std::chrono::duration<double> shortest = shortestFirstAttempt() * maxRemainingTime;
    const auto age = std::chrono::duration_cast<Milliseconds>(shortest) - remainingTime;
    return std::max(age, Milliseconds(0));
}

void ClientAgeEstimator::record(double fraction)
{
    for (double &requests : m_bins)
        requests *= decayPerRequest;
    const auto bin = static_cast<std::size_t>(fraction * binCount);
    m_bins[std::min(bin, binCount - 1)] += 1;
}

// Returns the lower end of the frequent fractions that reach up to 1.
double ClientAgeEstimator::shortestFirstAttempt() const
{
    const double minRequests =
        *std::max_element(m_bins.begin(), m_bins.end()) * minRelativeFrequency;
    std::size_t bin = binCount - 1;
    while (bin > 0 && m_bins[bin - 1] >= minRequests)
        --bin;
    return static_cast<double>(bin) / static_cast<double>(binCount);
}

} // namespace burdockhead
