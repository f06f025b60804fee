#include <burdockhead/base/random.h>
#include <burdockhead/gateway/callqueue.h>
#include <burdockhead/gateway/clientageestimator.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};

QueuedCall queuedCall(CallId id, unsigned priority, Milliseconds arrival, Milliseconds objective)
{
    const TimePoint arrivedAt = start + arrival;
    return {id, priority, arrivedAt, arrivedAt + objective, arrivedAt + Seconds(8)};
}

// Simulates a burst of twice the capacity for two seconds, then less than the capacity. Returns how
// many calls start within their objective when `takeNext` selects the next.
template <typename Push, typename TakeNext>
unsigned startedInTime(Push push, TakeNext takeNext)
{
    constexpr Milliseconds objective{400};
    constexpr int slice = 10; // Milliseconds in which the service starts one call.
    unsigned inTime = 0;
    CallId id = 0;
    for (int at = 0; at < 8000; at += slice) {
        const TimePoint now = start + Milliseconds(at);
        const int arrivals = at < 2000 ? 2 : (at / slice) % 5 == 0 ? 0 : 1;
        for (int arrival = 0; arrival < arrivals; ++arrival)
            push(queuedCall(++id, 1, Milliseconds(at), objective));
        const auto next = takeNext(now);
        inTime += next && now <= next->m_latestOnTimeStart ? 1 : 0;
    }
    return inTime;
}

// Simulates a backlog of a second, then as many arrivals as the service can start. A response may
// take up to `maxExtraTime` longer than average. Returns how many of the calls that arrive after
// the backlog are answered in time.
template <typename Push, typename TakeNext>
unsigned answeredInTime(Push push, TakeNext takeNext)
{
    constexpr Milliseconds objective{400};
    constexpr int slice = 10;
    constexpr int maxExtraTime = 100;
    unsigned inTime = 0;
    CallId id = 0;
    for (; id < 100; ++id)
        push(queuedCall(id, 1, Milliseconds(0), objective));
    for (int at = 0; at < 6000; at += slice) {
        const TimePoint now = start + Milliseconds(at);
        push(queuedCall(++id, 1, Milliseconds(at), objective));
        const auto next = takeNext(now);
        const Milliseconds extraTime{at / slice % 10 * maxExtraTime / 10};
        inTime += next && next->m_id > 100 && now + extraTime <= next->m_latestOnTimeStart ? 1 : 0;
    }
    return inTime;
}

// Simulates the seconds after a loss of power: clients that have been trying for seconds retry
// while first attempts arrive at three quarters of the capacity. Clients differ in patience.
// Returns the share of the first attempts that start within their objective when `estimateAge`
// tells for how long a client has been trying.
template <typename EstimateAge>
double firstAttemptsInTime(EstimateAge estimateAge)
{
    constexpr Milliseconds objective{250};
    constexpr int slice = 12; // Milliseconds in which the service starts one call.
    constexpr int spanMilliseconds = 6000;
    Random random(1);
    std::uniform_real_distribution<double> patience(0.85, 1);
    std::uniform_int_distribution<int> earlierTime(1000, 3500);
    CallQueue queue;
    CallId id = 0;
    std::set<CallId> firstAttempts;
    const auto arrive = [&](Milliseconds at, bool isRetry) {
        const Milliseconds earlier{isRetry ? earlierTime(random) : 0};
        const Milliseconds remaining{static_cast<int>(8000 * patience(random)) - earlier.count()};
        QueuedCall call = queuedCall(++id, 1, at, objective - estimateAge(remaining));
        call.m_deadline = call.m_arrivedAt + remaining;
        queue.push(call);
        if (!isRetry)
            firstAttempts.insert(id);
    };
    unsigned inTime = 0;
    for (int at = 0; at < spanMilliseconds; at += slice) {
        if (at < 2400)
            arrive(Milliseconds(at), true);
        if (at / slice % 4 != 0)
            arrive(Milliseconds(at), false);
        const TimePoint now = start + Milliseconds(at);
        const auto next = queue.pop(now);
        if (next && firstAttempts.contains(next->m_id))
            inTime += now <= next->m_arrivedAt + objective ? 1 : 0;
    }
    return inTime / static_cast<double>(firstAttempts.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Waiting)

BOOST_AUTO_TEST_CASE(urgent_calls_go_first_and_then_the_older)
{
    CallQueue queue;
    queue.push(queuedCall(1, 2, Milliseconds(0), Milliseconds(500)));
    queue.push(queuedCall(2, 1, Milliseconds(20), Milliseconds(500)));
    queue.push(queuedCall(3, 1, Milliseconds(10), Milliseconds(500)));
    BOOST_TEST(queue.countAhead(queuedCall(9, 1, Milliseconds(30), Milliseconds(500)), start)
               == 2U);
    BOOST_TEST(queue.pop(start)->m_id == 3U);
    BOOST_TEST(queue.pop(start)->m_id == 2U);
    BOOST_TEST(queue.pop(start)->m_id == 1U);
    BOOST_TEST(!queue.pop(start).has_value());
}

BOOST_AUTO_TEST_CASE(late_calls_wait_for_those_on_time)
{
    CallQueue queue;
    queue.push(queuedCall(1, 0, Milliseconds(0), Milliseconds(100)));
    queue.push(queuedCall(2, 3, Milliseconds(150), Milliseconds(100)));
    BOOST_TEST(queue.pop(start + Milliseconds(200))->m_id == 2U);
    BOOST_TEST(queue.pop(start + Milliseconds(200))->m_id == 1U);
}

BOOST_AUTO_TEST_CASE(a_removed_call_is_not_returned)
{
    CallQueue queue;
    queue.push(queuedCall(1, 0, Milliseconds(0), Milliseconds(100)));
    queue.push(queuedCall(2, 0, Milliseconds(0), Milliseconds(100)));
    BOOST_TEST(queue.remove(1));
    BOOST_TEST(!queue.remove(1));
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST(queue.pop(start)->m_id == 2U);
}

// A burst above capacity, compared with order of arrival.
BOOST_AUTO_TEST_CASE(after_a_burst_more_calls_start_in_time_than_in_order_of_arrival)
{
    CallQueue queue;
    const unsigned withQueue = startedInTime([&](const QueuedCall &next) { queue.push(next); },
                                             [&](TimePoint now) { return queue.pop(now); });
    std::deque<QueuedCall> arrivals;
    const unsigned inArrivalOrder =
        startedInTime([&](const QueuedCall &next) { arrivals.push_back(next); },
                      [&](TimePoint) -> std::optional<QueuedCall> {
                          if (arrivals.empty())
                              return std::nullopt;
                          const QueuedCall next = arrivals.front();
                          arrivals.pop_front();
                          return next;
                      });
    BOOST_TEST(withQueue > 2 * inArrivalOrder,
               withQueue << " in time, in order of arrival " << inArrivalOrder);
}

// After an outage, the service can't work off the backlog: in order of arrival each call would
// start when it's about to become late.
BOOST_AUTO_TEST_CASE(with_a_backlog_the_newest_start_with_time_to_spare)
{
    CallQueue queue;
    const unsigned withQueue = answeredInTime([&](const QueuedCall &next) { queue.push(next); },
                                              [&](TimePoint now) { return queue.pop(now); });
    std::deque<QueuedCall> arrivals;
    const auto takeOldestOnTime = [&](TimePoint now) -> std::optional<QueuedCall> {
        while (!arrivals.empty() && arrivals.front().m_latestOnTimeStart < now)
            arrivals.pop_front();
        if (arrivals.empty())
            return std::nullopt;
        const QueuedCall next = arrivals.front();
        arrivals.pop_front();
        return next;
    };
    const unsigned oldestOnTime =
        answeredInTime([&](const QueuedCall &next) { arrivals.push_back(next); }, takeOldestOnTime);
    BOOST_TEST(withQueue > 2 * oldestOnTime,
               withQueue << " in time, oldest first " << oldestOnTime);
}

// After an outage, refused clients retry for the last time.
BOOST_AUTO_TEST_CASE(of_the_late_calls_the_one_with_the_nearer_deadline_goes_first)
{
    CallQueue queue;
    QueuedCall newCall = queuedCall(1, 1, Milliseconds(0), Milliseconds(100));
    QueuedCall retried = queuedCall(2, 1, Milliseconds(50), Milliseconds(-2000));
    retried.m_deadline = newCall.m_deadline - Seconds(2);
    queue.push(newCall);
    queue.push(retried);
    const TimePoint now = start + Milliseconds(200);
    BOOST_TEST(queue.pop(now)->m_id == 2U);
    BOOST_TEST(queue.pop(now)->m_id == 1U);
}

// Taking the longest remaining time for that of every first attempt makes impatient clients look
// as if they had been refused before.
BOOST_AUTO_TEST_CASE(after_an_outage_first_attempts_start_in_time_whatever_the_clients_patience)
{
    ClientAgeEstimator estimator;
    const double learned = firstAttemptsInTime(
        [&](Milliseconds remaining) { return estimator.estimateAge("draft", remaining); });
    Milliseconds longest{0};
    const double fromLongest = firstAttemptsInTime([&](Milliseconds remaining) {
        longest = std::max(longest, remaining);
        return longest - remaining;
    });
    BOOST_TEST(learned > 0.9);
    BOOST_TEST(fromLongest < 0.7);
    BOOST_TEST_MESSAGE("in time: " << learned << ", by the longest time " << fromLongest);
}

BOOST_AUTO_TEST_CASE(with_a_backlog_urgent_calls_still_go_before_the_newest)
{
    CallQueue queue;
    queue.push(queuedCall(1, 0, Milliseconds(0), Milliseconds(50)));
    queue.push(queuedCall(2, 1, Milliseconds(100), Milliseconds(500)));
    queue.push(queuedCall(3, 1, Milliseconds(110), Milliseconds(500)));
    queue.push(queuedCall(4, 2, Milliseconds(120), Milliseconds(500)));
    const TimePoint now = start + Milliseconds(150);
    BOOST_TEST(queue.pop(now)->m_id == 3U);
    BOOST_TEST(queue.pop(now)->m_id == 2U);
    BOOST_TEST(queue.pop(now)->m_id == 4U);
    BOOST_TEST(queue.pop(now)->m_id == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
