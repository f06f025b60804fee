#include <burdockhead/gateway/calltimes.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallTimeline)

BOOST_AUTO_TEST_CASE(
    a_stream_that_resumes_elsewhere_adds_up_its_queueing_and_keeps_its_longest_pause)
{
    CallTimes times(at(0));
    BOOST_TEST((times.lastEventAt() == at(0)));
    times.recordDequeued(at(100));
    times.recordSent(at(100));
    times.recordEvent(at(250));
    times.recordEvent(at(300));
    times.recordQueued(at(340));
    times.recordDequeued(at(360));
    times.recordSent(at(360));
    BOOST_TEST(!times.hasEventSinceSent());
    times.recordEvent(at(500));
    BOOST_TEST(times.hasEventSinceSent());
    BOOST_TEST((times.queueingTime() == Milliseconds(120)));
    BOOST_TEST((times.firstEventTime() == Milliseconds(250)));
    BOOST_TEST((times.longestPause() == Milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()
