#include <burdockhead/gateway/storeoutage.h>
#include <burdockhead/gateway/watchschedule.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};
constexpr Milliseconds fixedWatch{4000};

// Simulates gateways whose watches all start at once, as after a change that all have applied.
class WatchSimulation
{
public:
    explicit WatchSimulation(std::size_t size)
        : m_size(size)
    {
        for (std::size_t number = 0; number < size; ++number) {
            m_watchers.push_back({WatchSchedule(Random(number + 1)), start});
            m_watchers.back().m_schedule.recordRevision(1);
            startWatch(m_watchers.back(), start);
        }
    }

    // Returns the store calls of all gateways in a span without changes.
    std::size_t countCalls(Milliseconds span)
    {
        const std::size_t before = m_calls;
        for (TimePoint now = start; now < start + span; now += compareInterval) {
            for (Watcher &watcher : m_watchers) {
                if (now >= watcher.m_endsAt)
                    startWatch(watcher, now);
            }
        }
        return m_calls - before;
    }

    // Returns the time until all gateways have applied a change that was made right after every
    // connection became unresponsive.
    Milliseconds propagationTime()
    {
        constexpr std::uint64_t change = 2;
        TimePoint now = start;
        while (!std::all_of(m_watchers.begin(), m_watchers.end(), [&](const Watcher &watcher) {
            return watcher.m_appliedRevision == change;
        })) {
            now += compareInterval;
            const bool isKnownElsewhere =
                std::any_of(m_watchers.begin(), m_watchers.end(), [&](const Watcher &watcher) {
                    return watcher.m_appliedAt <= now - gossipTime;
                });
            for (Watcher &watcher : m_watchers) {
                const bool hasExpired = now >= watcher.m_endsAt;
                if (watcher.m_appliedRevision == change
                    || (!hasExpired
                        && !watcher.m_schedule.shouldRestartWatch(isKnownElsewhere ? change : 1,
                                                                  now)))
                    continue;
                watcher.m_appliedRevision = change;
                watcher.m_appliedAt = now;
            }
        }
        return std::chrono::duration_cast<Milliseconds>(now - start);
    }

private:
    // How often a gateway compares revisions, and how long gossip takes to reach all.
    static constexpr Milliseconds compareInterval{250};
    static constexpr Milliseconds gossipTime{800};

    struct Watcher
    {
        WatchSchedule m_schedule;
        TimePoint m_endsAt;
        std::uint64_t m_appliedRevision = 1;
        TimePoint m_appliedAt = TimePoint::max();
    };

    void startWatch(Watcher &watcher, TimePoint now)
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

// Many gateways without changes, and connections that all become unresponsive.
BOOST_AUTO_TEST_CASE(long_watches_cost_few_calls_and_miss_no_change_for_long)
{
    constexpr std::size_t size = 44;
    constexpr Milliseconds span{60000};
    WatchSimulation idle(size);
    const auto fixedCalls = static_cast<std::size_t>(span / fixedWatch) * size;
    const std::size_t calls = idle.countCalls(span);
    BOOST_TEST(calls * 3 < fixedCalls, calls << " calls, with fixed watches " << fixedCalls);
    WatchSimulation unresponsive(size);
    BOOST_TEST(unresponsive.propagationTime().count() < 5000);
}

BOOST_AUTO_TEST_CASE(a_single_gateway_watches_for_at_most_four_seconds)
{
    WatchSchedule schedule{Random(1)};
    for (int watch = 0; watch < 100; ++watch)
        BOOST_TEST(schedule.nextWatchTimeout(1).count() <= fixedWatch.count());
}

BOOST_AUTO_TEST_CASE(a_revision_known_elsewhere_restarts_the_watch_once)
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

// During a start, engines register one after the other for seconds, and later each order to one
// changes its entry.
BOOST_AUTO_TEST_CASE(continuing_changes_are_fetched_less_and_less_often)
{
    constexpr Milliseconds initialDelay{300};
    WatchSchedule schedule(Random(1));
    TimePoint now = start;
    unsigned calls = 0;
    for (; now < start + Seconds(4); ++calls)
        now += schedule.delayAfterChanges(true, now);
    BOOST_TEST(calls <= 6U);
    BOOST_TEST((schedule.delayAfterChanges(true, now + Seconds(3)) == initialDelay));
}

BOOST_AUTO_TEST_CASE(changes_that_are_not_new_are_followed_by_a_long_delay)
{
    constexpr Milliseconds maxPropagation{2000};
    WatchSchedule schedule(Random(1));
    const Milliseconds delay = schedule.delayAfterChanges(false, start);
    BOOST_TEST((delay > schedule.delayAfterChanges(true, start + Seconds(5))));
    BOOST_TEST((delay <= maxPropagation / 2));
}

BOOST_AUTO_TEST_CASE(one_follower_of_a_process_probes_an_unavailable_store)
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
