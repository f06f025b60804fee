#include <burdockhead/gateway/callqueue.h>

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};

QueuedCall waiter(QueuedCallId id, unsigned priority, Milliseconds arrival, Milliseconds objective)
{
    const TimePoint arrivedAt = start + arrival;
    return {id, priority, arrivedAt, arrivedAt + objective, arrivedAt + Seconds(8)};
}

// A burst of twice the capacity for two seconds, then less than the capacity: how many start
// within their objective when `takeNext` says who is next.
template <typename Push, typename TakeNext>
unsigned startedInTime(Push push, TakeNext takeNext)
{
    constexpr Milliseconds objective{400};
    constexpr int slice = 10; // Milliseconds in which the service starts one request.
    unsigned inTime = 0;
    QueuedCallId id = 0;
    for (int at = 0; at < 8000; at += slice) {
        const TimePoint now = start + Milliseconds(at);
        const int arrivals = at < 2000 ? 2 : (at / slice) % 5 == 0 ? 0 : 1;
        for (int arrival = 0; arrival < arrivals; ++arrival)
            push(waiter(++id, 1, Milliseconds(at), objective));
        const auto next = takeNext(now);
        inTime += next && now <= next->m_latestOnTimeStart ? 1 : 0;
    }
    return inTime;
}

// A backlog of a second, then as many arrivals as the service can start. An answer may take longer
// than usual by up to `surplus`; how many come in time, of those that arrive after the backlog.
template <typename Push, typename TakeNext>
unsigned answeredInTime(Push push, TakeNext takeNext)
{
    constexpr Milliseconds objective{400};
    constexpr int slice = 10;
    constexpr int surplus = 100;
    unsigned inTime = 0;
    QueuedCallId id = 0;
    for (; id < 100; ++id)
        push(waiter(id, 1, Milliseconds(0), objective));
    for (int at = 0; at < 6000; at += slice) {
        const TimePoint now = start + Milliseconds(at);
        push(waiter(++id, 1, Milliseconds(at), objective));
        const auto next = takeNext(now);
        const Milliseconds longer{at / slice % 10 * surplus / 10};
        inTime += next && next->m_id > 100 && now + longer <= next->m_latestOnTimeStart ? 1 : 0;
    }
    return inTime;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Waiting)

BOOST_AUTO_TEST_CASE(urgent_requests_go_first_and_then_the_older)
{
    CallQueue line;
    line.push(waiter(1, 2, Milliseconds(0), Milliseconds(500)));
    line.push(waiter(2, 1, Milliseconds(20), Milliseconds(500)));
    line.push(waiter(3, 1, Milliseconds(10), Milliseconds(500)));
    BOOST_TEST(line.countAhead(waiter(9, 1, Milliseconds(30), Milliseconds(500)), start) == 2U);
    BOOST_TEST(line.pop(start)->m_id == 3U);
    BOOST_TEST(line.pop(start)->m_id == 2U);
    BOOST_TEST(line.pop(start)->m_id == 1U);
    BOOST_TEST(!line.pop(start).has_value());
}

BOOST_AUTO_TEST_CASE(requests_that_are_late_already_wait_for_those_that_are_not)
{
    CallQueue line;
    line.push(waiter(1, 0, Milliseconds(0), Milliseconds(100)));
    line.push(waiter(2, 3, Milliseconds(150), Milliseconds(100)));
    BOOST_TEST(line.pop(start + Milliseconds(200))->m_id == 2U);
    BOOST_TEST(line.pop(start + Milliseconds(200))->m_id == 1U);
}

BOOST_AUTO_TEST_CASE(one_that_has_left_is_not_taken)
{
    CallQueue line;
    line.push(waiter(1, 0, Milliseconds(0), Milliseconds(100)));
    line.push(waiter(2, 0, Milliseconds(0), Milliseconds(100)));
    BOOST_TEST(line.remove(1));
    BOOST_TEST(!line.remove(1));
    BOOST_TEST(line.size() == 1U);
    BOOST_TEST(line.pop(start)->m_id == 2U);
}

// The load pattern of a burst over capacity, against plain order of arrival.
BOOST_AUTO_TEST_CASE(after_a_burst_more_requests_start_in_time_than_in_order_of_arrival)
{
    CallQueue line;
    const unsigned ours = startedInTime([&](const QueuedCall &next) { line.push(next); },
                                        [&](TimePoint now) { return line.pop(now); });
    std::deque<QueuedCall> arrivals;
    const unsigned inOrder =
        startedInTime([&](const QueuedCall &next) { arrivals.push_back(next); },
                      [&](TimePoint) -> std::optional<QueuedCall> {
                          if (arrivals.empty())
                              return std::nullopt;
                          const QueuedCall next = arrivals.front();
                          arrivals.pop_front();
                          return next;
                      });
    BOOST_TEST(ours > 2 * inOrder, ours << " in time, in order of arrival " << inOrder);
}

// The load pattern after an outage, whose backlog the service can't work off: in order of arrival
// each request would start when it is about to be late.
BOOST_AUTO_TEST_CASE(with_a_backlog_the_newest_start_while_they_have_time_to_spare)
{
    CallQueue line;
    const unsigned ours = answeredInTime([&](const QueuedCall &next) { line.push(next); },
                                         [&](TimePoint now) { return line.pop(now); });
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
    BOOST_TEST(ours > 2 * oldestOnTime, ours << " in time, oldest first " << oldestOnTime);
}

// The load pattern after an outage: those who were refused in it come back, for the last time.
BOOST_AUTO_TEST_CASE(of_the_late_the_one_whose_deadline_is_nearer_goes_first)
{
    CallQueue line;
    QueuedCall first = waiter(1, 1, Milliseconds(0), Milliseconds(100));
    QueuedCall cameBack = waiter(2, 1, Milliseconds(50), Milliseconds(-2000));
    cameBack.m_deadline = first.m_deadline - Seconds(2);
    line.push(first);
    line.push(cameBack);
    const TimePoint now = start + Milliseconds(200);
    BOOST_TEST(line.pop(now)->m_id == 2U);
    BOOST_TEST(line.pop(now)->m_id == 1U);
}

BOOST_AUTO_TEST_CASE(with_a_backlog_the_urgent_still_go_before_the_newest)
{
    CallQueue line;
    line.push(waiter(1, 0, Milliseconds(0), Milliseconds(50)));
    line.push(waiter(2, 1, Milliseconds(100), Milliseconds(500)));
    line.push(waiter(3, 1, Milliseconds(110), Milliseconds(500)));
    line.push(waiter(4, 2, Milliseconds(120), Milliseconds(500)));
    const TimePoint now = start + Milliseconds(150);
    BOOST_TEST(line.pop(now)->m_id == 3U);
    BOOST_TEST(line.pop(now)->m_id == 2U);
    BOOST_TEST(line.pop(now)->m_id == 4U);
    BOOST_TEST(line.pop(now)->m_id == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
