#include <burdockhead/gateway/clientageestimator.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Routes that are remembered, so that ever new ones don't fill the memory: several times as many
// as large configurations have.
constexpr std::size_t mostRoutes = 8192;
// A difference up to this is the way to the gateway, or a timer's.
constexpr Milliseconds leastAge{50};

} // namespace

Milliseconds ClientAgeEstimator::estimateAge(const std::string &route, Milliseconds timeLeft)
{
    if (m_maxRemainingTimes.size() >= mostRoutes)
        m_maxRemainingTimes.clear();
    Milliseconds &longest = m_maxRemainingTimes[route];
    longest = std::max(longest, timeLeft);
    const Milliseconds age = longest - timeLeft;
    return age < leastAge ? Milliseconds(0) : age;
}

} // namespace burdockhead
