#include <burdockhead/gateway/clientageestimator.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Upper bound of the remembered routes, so that ever new ones don't exhaust memory: several times
// as many as large configurations have.
constexpr std::size_t maxRoutes = 8192;
// A smaller difference is network latency or timer jitter.
constexpr Milliseconds minAge{50};

} // namespace

Milliseconds ClientAgeEstimator::estimateAge(const std::string &route, Milliseconds remainingTime)
{
    if (m_maxRemainingTimes.size() >= maxRoutes)
        m_maxRemainingTimes.clear();
    Milliseconds &maxRemainingTime = m_maxRemainingTimes[route];
    maxRemainingTime = std::max(maxRemainingTime, remainingTime);
    const Milliseconds age = maxRemainingTime - remainingTime;
    return age < minAge ? Milliseconds(0) : age;
}

} // namespace burdockhead
