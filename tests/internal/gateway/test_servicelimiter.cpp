#include <burdockhead/gateway/servicelimiter.h>

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};
const ServiceRetryBudgetOptions budgetOptions;
constexpr Milliseconds maxEventInterval{120};

// The capacity of a service with a single gateway.
ServiceCapacity capacity(std::size_t requests, std::size_t slowRequests)
{
    return {static_cast<double>(requests), static_cast<double>(slowRequests)};
}

// Simulates streams of a group in lock-step: each step takes longer with each stream, and three
// times as long for its experts while demand has shifted. Counts streams whose event intervals all
// stay within the longest, with one gateway that admits all streams.
class LockStepSimulation
{
public:
    explicit LockStepSimulation(bool hasSlowLimit)
        : m_hasSlowLimit(hasSlowLimit)
    {
        m_limiter.setCapacity(capacity(limit, hasSlowLimit ? slowLimit : limit));
    }

    // Returns the fraction of arrived streams that were in time.
    double run()
    {
        while (m_now < start + Seconds(40))
            step();
        return static_cast<double>(m_inTime) / static_cast<double>(m_arrived);
    }

private:
    static constexpr std::size_t ranks = 16;
    static constexpr std::size_t limit = 9 * ranks;
    static constexpr std::size_t slowLimit = 5 * ranks;
    static constexpr int eventsPerStream = 24;
    static constexpr Milliseconds arrivalInterval{10};

    struct Stream
    {
        int m_remainingEvents = eventsPerStream;
        bool m_isLate = false;
    };

    // Returns the duration of four engine steps in milliseconds: without requests, for each request
    // on a rank, and for each prompt read on some rank.
    Milliseconds stepTime() const
    {
        constexpr double baseTime = 18.2;
        constexpr double perRequest = 3.6;
        constexpr double perPrompt = 13.6;
        const auto second = std::chrono::duration_cast<Milliseconds>(m_now - start).count();
        const double skew = second % 3300 < 1500 ? 3.3 : 1.15;
        const double requestsPerRank = static_cast<double>(m_streams.size()) / ranks;
        const double promptTime = perPrompt * static_cast<double>(m_started) / ranks;
        const double work = (perRequest * requestsPerRank + promptTime) * (0.15 + 0.85 * skew);
        return Milliseconds(static_cast<int>(baseTime + work));
    }

    void step()
    {
        const Milliseconds elapsed = stepTime();
        m_now += elapsed;
        for (; m_nextArrival <= m_now; m_nextArrival += arrivalInterval) {
            ++m_arrived;
            ++m_waiting;
        }
        std::deque<Stream> remaining;
        for (Stream stream : m_streams) {
            m_limiter.recordEventInterval(elapsed, maxEventInterval, m_now);
            stream.m_isLate = stream.m_isLate || elapsed > maxEventInterval;
            if (--stream.m_remainingEvents > 0) {
                remaining.push_back(stream);
                continue;
            }
            m_limiter.onEnded(Milliseconds(1000), true);
            m_inTime += stream.m_isLate ? 0 : 1;
        }
        m_streams = std::move(remaining);
        m_started = 0;
        for (; m_waiting > 0 && m_limiter.mayStart(m_now); --m_waiting) {
            ++m_started;
            m_limiter.onStarted();
            m_streams.push_back({});
        }
    }

    bool m_hasSlowLimit;
    ServiceLimiter m_limiter{budgetOptions};
    TimePoint m_now = start;
    TimePoint m_nextArrival = start;
    std::deque<Stream> m_streams;
    std::size_t m_waiting = 0;
    std::size_t m_started = 0; // In the last step.
    std::size_t m_arrived = 0;
    std::size_t m_inTime = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Gate)

BOOST_AUTO_TEST_CASE(the_limit_bounds_concurrent_requests)
{
    ServiceLimiter limiter(budgetOptions);
    limiter.setCapacity(capacity(2, 2));
    limiter.onStarted();
    BOOST_TEST(limiter.mayStart(start));
    limiter.onStarted();
    BOOST_TEST(!limiter.mayStart(start));
    limiter.onEnded(Milliseconds(10), true);
    BOOST_TEST(limiter.mayStart(start));
}

// A stalled group refuses everything until it has regrouped.
BOOST_AUTO_TEST_CASE(a_service_that_refuses_everything_is_probed_by_one_request_at_a_time)
{
    ServiceLimiter limiter(budgetOptions);
    limiter.setCapacity(capacity(50, 50));
    TimePoint now = start;
    unsigned sent = 0;
    for (; now < start + Seconds(5); now += Milliseconds(10)) {
        while (limiter.mayStart(now)) {
            ++sent;
            limiter.onStarted();
            limiter.onRefused(now);
            limiter.onEnded(Milliseconds(5), false);
        }
    }
    BOOST_TEST(sent < 25U);
    BOOST_TEST(limiter.mayStart(now + Seconds(1)));
    limiter.onStarted();
    limiter.onEnded(Milliseconds(5), true);
    limiter.onStarted();
    BOOST_TEST(limiter.mayStart(now));
}

// A group accepts requests again: its first stream runs for a second or two, and queued clients
// disconnect after two.
BOOST_AUTO_TEST_CASE(the_first_event_of_a_stream_ends_the_pause)
{
    ServiceLimiter limiter(budgetOptions);
    limiter.setCapacity(capacity(50, 50));
    for (int refusal = 0; refusal < 4; ++refusal)
        limiter.onRefused(start);
    const TimePoint later = start + Seconds(1);
    BOOST_REQUIRE(limiter.mayStart(later));
    limiter.onStarted();
    BOOST_TEST(!limiter.mayStart(later));
    limiter.onFirstEvent(Milliseconds(300), later);
    BOOST_TEST(limiter.mayStart(later));
}

// A group accepts requests again with its initial map while a thousand requests are queued: sent
// all at once they would make its steps too slow for any of them.
BOOST_AUTO_TEST_CASE(a_reopened_service_gets_its_full_limit_once_its_steps_are_fast)
{
    constexpr std::size_t slowLimit = 10;
    ServiceLimiter limiter(budgetOptions);
    limiter.setCapacity(capacity(50, slowLimit));
    for (int refusal = 0; refusal < 4; ++refusal)
        limiter.onRefused(start);
    const TimePoint later = start + Seconds(1);
    limiter.onStarted();
    limiter.onFirstEvent(Milliseconds(300), later);
    while (limiter.mayStart(later))
        limiter.onStarted();
    BOOST_TEST(limiter.running() == slowLimit);
    for (int event = 0; event < 20; ++event)
        limiter.recordEventInterval(maxEventInterval / 2, maxEventInterval, later);
    BOOST_TEST(limiter.mayStart(later));
}

// An outage lasts some seconds, and each client retries once.
BOOST_AUTO_TEST_CASE(clients_of_a_service_that_refuses_everything_retry_later)
{
    ServiceLimiter limiter(budgetOptions);
    limiter.setCapacity(capacity(50, 50));
    const Milliseconds defaultDelay = limiter.retryDelay(Duration(0));
    for (int refusal = 0; refusal < 4; ++refusal)
        limiter.onRefused(start);
    BOOST_TEST(limiter.retryDelay(Duration(0)).count() >= 4 * defaultDelay.count());
    limiter.onFirstEvent(Milliseconds(300), start);
    BOOST_TEST(limiter.retryDelay(Duration(0)).count() == defaultDelay.count());
}

// Demand for experts shifts every few seconds, under a burst.
BOOST_AUTO_TEST_CASE(a_lower_limit_while_steps_are_slow_keeps_more_streams_in_time)
{
    const double withSlowLimit = LockStepSimulation(true).run();
    const double withSingleLimit = LockStepSimulation(false).run();
    BOOST_TEST(withSlowLimit > withSingleLimit + 0.1,
               withSlowLimit << " of the streams in time, with one limit " << withSingleLimit);
}

BOOST_AUTO_TEST_SUITE_END()
