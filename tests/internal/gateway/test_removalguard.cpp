#include "property.h"
#include <burdockhead/gateway/removalguard.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace burdockhead;

namespace {

const GroupName service("app");
constexpr Milliseconds leaveTime{2000};
constexpr Milliseconds second{1000};

// A gateway's view of one service while registrations are removed, and what it decides.
struct Fixture
{
    // Removes a registration; the gateway learns of it after that delay.
    TimePoint remove(Milliseconds learnedAfter)
    {
        const TimePoint madeAt = m_now - learnedAfter;
        return m_guard.usableUntil({service, --m_registered, madeAt}, leaveTime, m_now);
    }

    RemovalGuard m_guard;
    std::size_t m_registered = 3;
    TimePoint m_now = TimePoint(Seconds(100));
};

// The time of use counts from when the gateway learned of the removal.
TimePoint usableUntilFromLearning(TimePoint now)
{
    return now + leaveTime * 3 / 4;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Removals, Fixture)

BOOST_AUTO_TEST_CASE(an_endpoint_that_is_removed_alone_is_not_used_any_more)
{
    BOOST_TEST((remove(Milliseconds(10)) == m_now));
}

// The registrations of a service expire while the store is unavailable.
BOOST_AUTO_TEST_CASE(endpoints_stay_usable_when_most_of_their_service_is_removed)
{
    remove(Milliseconds(0));
    BOOST_TEST((remove(Milliseconds(0)) == m_now + leaveTime * 3 / 4));
    BOOST_TEST((remove(Milliseconds(0)) == m_now + leaveTime * 3 / 4));
}

// Their time counts from the removal and not from when it was learned.
BOOST_AUTO_TEST_CASE(endpoints_of_a_removed_service_are_not_used_beyond_the_time_limit)
{
    const TimePoint madeAt = m_now - second;
    remove(second);
    BOOST_TEST((remove(second) <= madeAt + leaveTime));
}

BOOST_AUTO_TEST_CASE(replicas_that_are_replaced_one_after_the_other_are_not_used_any_more)
{
    for (int replica = 0; replica < 6; ++replica) {
        ++m_registered;
        BOOST_TEST((remove(second) == m_now));
        m_now += 2 * second;
    }
}

BOOST_AUTO_TEST_CASE(removals_of_another_service_do_not_count)
{
    for (std::size_t remaining = 5; remaining-- > 0;)
        m_guard.usableUntil({GroupName("other"), remaining, m_now}, leaveTime, m_now);
    BOOST_TEST((remove(Milliseconds(0)) == m_now));
}

BOOST_AUTO_TEST_SUITE_END()

// Replicas leave a few at a time at random moments, and a gateway learns of each up to ten seconds
// later: its watch was silent, its process paused, or the store has dropped its history.
BOOST_AUTO_TEST_CASE(a_gateway_that_learns_late_never_uses_an_endpoint_beyond_the_time_limit)
{
    bool wouldBreakFromLearning = false;
    checkProperty("no use after the limit once the removal is known", [&] {
        const auto replicas = *rc::gen::inRange<std::size_t>(3, 40);
        RemovalGuard guard;
        TimePoint now = TimePoint(Seconds(100));
        for (int step = 0; step < 20; ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 4000));
            const auto leaving = *rc::gen::inRange<std::size_t>(1, std::max(replicas / 4, 2UL));
            const Milliseconds age(*rc::gen::inRange(0, 10000));
            const TimePoint limit = std::max(now, now - age + leaveTime);
            for (std::size_t count = 1; count <= leaving; ++count) {
                const TimePoint until =
                    guard.usableUntil({service, replicas - count, now - age}, leaveTime, now);
                RC_ASSERT(until <= limit);
                wouldBreakFromLearning |= usableUntilFromLearning(now) > limit;
            }
        }
    });
    BOOST_TEST(wouldBreakFromLearning);
}
