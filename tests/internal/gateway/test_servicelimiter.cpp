#include <burdockhead/gateway/servicelimiter.h>

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};
const ServiceRetryBudgetOptions retries;
constexpr Milliseconds longestPause{120};

// Streams of a group in lock-step: each step takes longer with each stream, and three times as
// long for its experts while their demand has shifted. Counts streams whose every pause is
// within the longest, as one gateway with all of the streams lets them in.
class LockStepReplay
{
public:
    explicit LockStepReplay(bool hasSlowWindow)
        : m_hasSlowWindow(hasSlowWindow)
    {
        m_gate.setLimits(window, hasSlowWindow ? slowWindow : window);
    }

    // Streams in time of those that arrived.
    double run()
    {
        while (m_now < start + Seconds(40))
            step();
        return static_cast<double>(m_inTime) / static_cast<double>(m_arrived);
    }

private:
    static constexpr std::size_t ranks = 16;
    static constexpr std::size_t window = 9 * ranks;
    static constexpr std::size_t slowWindow = 5 * ranks;
    static constexpr int eventsOfStream = 24;
    static constexpr Milliseconds betweenArrivals{10};

    struct Stream
    {
        int m_left = eventsOfStream;
        bool m_isLate = false;
    };

    // Of four steps of an engine, in milliseconds: without requests, for each on a rank, and for
    // each prompt that is read on some rank.
    Milliseconds stepTime() const
    {
        constexpr double empty = 18.2;
        constexpr double forRequest = 3.6;
        constexpr double forPrompt = 13.6;
        const auto second = std::chrono::duration_cast<Milliseconds>(m_now - start).count();
        const double skew = second % 3300 < 1500 ? 3.3 : 1.15;
        const double onRank = static_cast<double>(m_streams.size()) / ranks;
        const double read = forPrompt * static_cast<double>(m_started) / ranks;
        const double work = (forRequest * onRank + read) * (0.15 + 0.85 * skew);
        return Milliseconds(static_cast<int>(empty + work));
    }

    void step()
    {
        const Milliseconds took = stepTime();
        m_now += took;
        for (; m_nextArrival <= m_now; m_nextArrival += betweenArrivals) {
            ++m_arrived;
            ++m_waiting;
        }
        std::deque<Stream> left;
        for (Stream stream : m_streams) {
            m_gate.recordEventInterval(took, longestPause, m_now);
            stream.m_isLate = stream.m_isLate || took > longestPause;
            if (--stream.m_left > 0) {
                left.push_back(stream);
                continue;
            }
            m_gate.onEnded(Milliseconds(1000), true);
            m_inTime += stream.m_isLate ? 0 : 1;
        }
        m_streams = std::move(left);
        m_started = 0;
        for (; m_waiting > 0 && m_gate.mayStart(m_now); --m_waiting) {
            ++m_started;
            m_gate.onStarted();
            m_streams.push_back({});
        }
    }

    bool m_hasSlowWindow;
    ServiceLimiter m_gate{retries};
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

BOOST_AUTO_TEST_CASE(the_window_bounds_what_runs)
{
    ServiceLimiter gate(retries);
    gate.setLimits(2, 2);
    gate.onStarted();
    BOOST_TEST(gate.mayStart(start));
    gate.onStarted();
    BOOST_TEST(!gate.mayStart(start));
    gate.onEnded(Milliseconds(10), true);
    BOOST_TEST(gate.mayStart(start));
}

// The load pattern of a group that has stalled: it refuses everything until it has formed.
BOOST_AUTO_TEST_CASE(a_service_that_refuses_everything_is_tried_by_one_request_at_a_time)
{
    ServiceLimiter gate(retries);
    gate.setLimits(50, 50);
    TimePoint now = start;
    unsigned sent = 0;
    for (; now < start + Seconds(5); now += Milliseconds(10)) {
        while (gate.mayStart(now)) {
            ++sent;
            gate.onStarted();
            gate.onRefused(now);
            gate.onEnded(Milliseconds(5), false);
        }
    }
    BOOST_TEST(sent < 25U);
    BOOST_TEST(gate.mayStart(now + Seconds(1)));
    gate.onStarted();
    gate.onEnded(Milliseconds(5), true);
    gate.onStarted();
    BOOST_TEST(gate.mayStart(now));
}

// The load pattern of a group that opens again: its first stream runs for a second or two, and
// what waits leaves after two.
BOOST_AUTO_TEST_CASE(the_first_byte_of_an_answer_ends_the_pause)
{
    ServiceLimiter gate(retries);
    gate.setLimits(50, 50);
    for (int refusal = 0; refusal < 4; ++refusal)
        gate.onRefused(start);
    const TimePoint later = start + Seconds(1);
    BOOST_REQUIRE(gate.mayStart(later));
    gate.onStarted();
    BOOST_TEST(!gate.mayStart(later));
    gate.onFirstByte(Milliseconds(300), later);
    BOOST_TEST(gate.mayStart(later));
}

// The load pattern of a group that opens again with its first map while a thousand requests wait:
// all at once they would make its steps too slow for any of them.
BOOST_AUTO_TEST_CASE(a_service_that_opens_again_is_filled_once_its_steps_are_quick)
{
    constexpr std::size_t slowWindow = 10;
    ServiceLimiter gate(retries);
    gate.setLimits(50, slowWindow);
    for (int refusal = 0; refusal < 4; ++refusal)
        gate.onRefused(start);
    const TimePoint later = start + Seconds(1);
    gate.onStarted();
    gate.onFirstByte(Milliseconds(300), later);
    while (gate.mayStart(later))
        gate.onStarted();
    BOOST_TEST(gate.running() == slowWindow);
    for (int event = 0; event < 20; ++event)
        gate.recordEventInterval(longestPause / 2, longestPause, later);
    BOOST_TEST(gate.mayStart(later));
}

// The load pattern of an outage of some seconds, in which each client comes back once.
BOOST_AUTO_TEST_CASE(clients_of_a_service_that_refuses_everything_come_back_later)
{
    ServiceLimiter gate(retries);
    gate.setLimits(50, 50);
    const Milliseconds usual = gate.retryAfter();
    for (int refusal = 0; refusal < 4; ++refusal)
        gate.onRefused(start);
    BOOST_TEST(gate.retryAfter().count() >= 4 * usual.count());
    gate.onFirstByte(Milliseconds(300), start);
    BOOST_TEST(gate.retryAfter().count() == usual.count());
}

// The load pattern of a demand for experts that shifts every few seconds, under a burst.
BOOST_AUTO_TEST_CASE(a_smaller_window_while_steps_are_slow_keeps_more_streams_in_time)
{
    const double ours = LockStepReplay(true).run();
    const double naive = LockStepReplay(false).run();
    BOOST_TEST(ours > naive + 0.1, ours << " of the streams in time, with one window " << naive);
}

BOOST_AUTO_TEST_SUITE_END()
