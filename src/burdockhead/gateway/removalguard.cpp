#include <burdockhead/gateway/removalguard.h>

namespace burdockhead {

namespace {

// Removals within this time count as made at a time: registrations expire over about two seconds.
constexpr Milliseconds expiryWindow{4000};
// Fraction of the permitted time for which an endpoint is used after its registration expired.
constexpr int usableNumerator = 3;
constexpr int usableDenominator = 4;

} // namespace

TimePoint RemovalGuard::usableUntil(const EndpointRemoval &removal, Milliseconds leaveTime,
                                    TimePoint now)
{
    std::deque<TimePoint> &removals = m_recentRemovals[removal.m_service];
    while (!removals.empty() && removals.front() + expiryWindow <= now)
        removals.pop_front();
    removals.push_back(now);
    const bool isMajority = removals.size() > removal.m_remaining;
    return isMajority ? removal.m_madeAfter + leaveTime * usableNumerator / usableDenominator : now;
}

} // namespace burdockhead
