#include <burdockhead/gateway/storeoutage.h>
#include <burdockhead/gateway/watchschedule.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};
constexpr Milliseconds fixedWatch{4000};

// A fleet whose watches all wait from one moment on, as after a change that all have taken.
class WatchingFleet
{
public:
    explicit WatchingFleet(std::size_t size)
        : m_size(size)
    {
        for (std::size_t number = 0; number < size; ++number) {
            m_watchers.push_back({WatchSchedule(Random(number + 1)), start});
            m_watchers.back().m_schedule.recordRevision(1);
            ask(m_watchers.back(), start);
        }
    }

    // Calls of the fleet in a span in which nothing changes.
    std::size_t callsIn(Milliseconds span)
    {
        const std::size_t before = m_calls;
        for (TimePoint now = start; now < start + span; now += poll) {
            for (Watcher &watcher : m_watchers) {
                if (now >= watcher.m_endsAt)
                    ask(watcher, now);
            }
        }
        return m_calls - before;
    }

    // The time until all have taken a change that was made right after every connection went
    // silent.
    Milliseconds timeToTake()
    {
        constexpr std::uint64_t change = 2;
        TimePoint now = start;
        while (!std::all_of(m_watchers.begin(), m_watchers.end(),
                            [&](const Watcher &watcher) { return watcher.m_taken == change; })) {
            now += poll;
            const bool isKnown =
                std::any_of(m_watchers.begin(), m_watchers.end(), [&](const Watcher &watcher) {
                    return watcher.m_takenAt <= now - gossipTime;
                });
            for (Watcher &watcher : m_watchers) {
                const bool isLate = now >= watcher.m_endsAt;
                if (watcher.m_taken == change
                    || (!isLate
                        && !watcher.m_schedule.shouldRestartWatch(isKnown ? change : 1, now)))
                    continue;
                watcher.m_taken = change;
                watcher.m_takenAt = now;
            }
        }
        return std::chrono::duration_cast<Milliseconds>(now - start);
    }

private:
    // How often a gateway compares, and how long gossip takes to reach all.
    static constexpr Milliseconds poll{250};
    static constexpr Milliseconds gossipTime{800};

    struct Watcher
    {
        WatchSchedule m_schedule;
        TimePoint m_endsAt;
        std::uint64_t m_taken = 1;
        TimePoint m_takenAt = TimePoint::max();
    };

    void ask(Watcher &watcher, TimePoint now)
    {
        ++m_calls;
        watcher.m_endsAt = now + watcher.m_schedule.nextWatchTimeout(m_size);
    }

    std::size_t m_size;
    std::vector<Watcher> m_watchers;
    std::size_t m_calls = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Watches)

// The load pattern of a calm day on a large fleet, and of connections that all go silent.
BOOST_AUTO_TEST_CASE(long_watches_of_a_fleet_cost_few_calls_and_miss_no_change_for_long)
{
    constexpr std::size_t size = 44;
    constexpr Milliseconds span{60000};
    WatchingFleet calm(size);
    const auto withFixed = static_cast<std::size_t>(span / fixedWatch) * size;
    const std::size_t calls = calm.callsIn(span);
    BOOST_TEST(calls * 3 < withFixed, calls << " calls, with fixed watches " << withFixed);
    WatchingFleet silenced(size);
    BOOST_TEST(silenced.timeToTake().count() < 5000);
}

BOOST_AUTO_TEST_CASE(a_gateway_alone_watches_for_four_seconds_at_the_most)
{
    WatchSchedule schedule{Random(1)};
    for (int watch = 0; watch < 100; ++watch)
        BOOST_TEST(schedule.nextWatchTimeout(1).count() <= fixedWatch.count());
}

BOOST_AUTO_TEST_CASE(a_change_that_another_knows_is_asked_for_once)
{
    WatchSchedule schedule{Random(1)};
    schedule.recordRevision(10);
    BOOST_TEST(!schedule.shouldRestartWatch(10, start));
    BOOST_TEST(!schedule.shouldRestartWatch(12, start));
    BOOST_TEST(!schedule.shouldRestartWatch(12, start + Milliseconds(250)));
    BOOST_TEST(schedule.shouldRestartWatch(12, start + Milliseconds(500)));
    BOOST_TEST(!schedule.shouldRestartWatch(12, start + Seconds(5)));
    BOOST_TEST(!schedule.shouldRestartWatch(13, start + Seconds(6)));
    schedule.recordRevision(13);
    BOOST_TEST(!schedule.shouldRestartWatch(13, start + Seconds(9)));
}

// The load pattern of a fleet that starts: engines register one after the other for seconds, and
// later each order to one changes its entry.
BOOST_AUTO_TEST_CASE(changes_that_go_on_are_asked_for_less_and_less_often)
{
    constexpr Milliseconds firstPause{300};
    WatchSchedule schedule(Random(1));
    TimePoint now = start;
    unsigned calls = 0;
    for (; now < start + Seconds(4); ++calls)
        now += schedule.delayAfterChanges(true, now);
    BOOST_TEST(calls <= 6U);
    BOOST_TEST((schedule.delayAfterChanges(true, now + Seconds(3)) == firstPause));
}

BOOST_AUTO_TEST_CASE(changes_that_are_no_news_are_followed_by_a_long_pause)
{
    constexpr Milliseconds inForceWithin{2000};
    WatchSchedule schedule(Random(1));
    const Milliseconds pause = schedule.delayAfterChanges(false, start);
    BOOST_TEST((pause > schedule.delayAfterChanges(true, start + Seconds(5))));
    BOOST_TEST((pause <= inForceWithin / 2));
}

BOOST_AUTO_TEST_CASE(one_follower_of_a_process_tries_a_store_that_is_away)
{
    StoreOutage outage;
    BOOST_TEST(outage.mayCall(StoreCollection::Endpoints));
    outage.onFailure(StoreCollection::Configuration);
    outage.onFailure(StoreCollection::Endpoints);
    BOOST_TEST(outage.mayCall(StoreCollection::Configuration));
    BOOST_TEST(!outage.mayCall(StoreCollection::Endpoints));
    outage.clear();
    BOOST_TEST(outage.mayCall(StoreCollection::Endpoints));
}

BOOST_AUTO_TEST_SUITE_END()
