#include <burdockhead/gateway/changetimeestimator.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

constexpr Milliseconds prompt{5};
constexpr Milliseconds pauseBetweenWatches{900};

struct Fixture
{
    // Sends a request after that delay and returns the estimate for its response.
    TimePoint respond(Milliseconds delay, Milliseconds responseTime)
    {
        m_now += delay;
        m_estimator.recordRequest(m_now);
        m_now += responseTime;
        return m_estimator.recordResponse(m_now);
    }

    ChangeTimeEstimator m_estimator;
    TimePoint m_now = TimePoint(Seconds(100));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChangeTimes, Fixture)

BOOST_AUTO_TEST_CASE(changes_in_the_first_response_count_from_now)
{
    BOOST_TEST((respond(Milliseconds(0), prompt) == m_now));
}

BOOST_AUTO_TEST_CASE(changes_made_between_two_watches_count_from_the_previous_response)
{
    respond(Milliseconds(0), prompt);
    const TimePoint previous = m_now;
    BOOST_TEST((respond(pauseBetweenWatches, prompt) == previous));
}

BOOST_AUTO_TEST_CASE(a_watch_that_has_waited_returns_a_change_as_it_is_made)
{
    respond(Milliseconds(0), prompt);
    BOOST_TEST((respond(pauseBetweenWatches, Seconds(3)) == m_now));
}

BOOST_AUTO_TEST_CASE(entries_that_expired_in_an_outage_count_from_its_end)
{
    respond(Milliseconds(0), prompt);
    m_estimator.recordFailure();
    BOOST_TEST((respond(Seconds(4), prompt) == m_now));
}

BOOST_AUTO_TEST_CASE(a_single_failed_call_does_not_hide_how_old_a_change_is)
{
    respond(Milliseconds(0), prompt);
    const TimePoint previous = m_now;
    m_estimator.recordFailure();
    BOOST_TEST((respond(Milliseconds(100), prompt) == previous));
}

BOOST_AUTO_TEST_SUITE_END()
