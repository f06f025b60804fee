#include <burdockhead/gateway/endpointbreaker.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};

} // namespace

BOOST_AUTO_TEST_SUITE(Breaker)

BOOST_AUTO_TEST_CASE(single_failures_do_not_open_it)
{
    EndpointBreaker breaker;
    for (int round = 0; round < 20; ++round) {
        breaker.recordFailure(start);
        breaker.recordFailure(start);
        BOOST_TEST(breaker.allows(start));
        breaker.recordSuccess();
    }
}

BOOST_AUTO_TEST_CASE(consecutive_failures_open_it_with_growing_backoff)
{
    EndpointBreaker breaker;
    for (int failure = 0; failure < 3; ++failure)
        breaker.recordFailure(start);
    BOOST_TEST(!breaker.allows(start + Milliseconds(499)));
    BOOST_TEST(breaker.allows(start + Milliseconds(500)));
    breaker.recordFailure(start + Milliseconds(500));
    BOOST_TEST(!breaker.allows(start + Milliseconds(1499)));
    BOOST_TEST(breaker.allows(start + Milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(one_request_probes_it_after_the_backoff)
{
    EndpointBreaker breaker;
    for (int failure = 0; failure < 3; ++failure)
        breaker.recordFailure(start);
    const TimePoint later = start + Milliseconds(600);
    BOOST_TEST(breaker.allows(later));
    breaker.onRequestSent(later);
    BOOST_TEST(!breaker.allows(later));
    breaker.recordSuccess();
    BOOST_TEST(breaker.allows(later));
}

BOOST_AUTO_TEST_SUITE_END()
