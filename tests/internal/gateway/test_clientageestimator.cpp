#include <burdockhead/gateway/clientageestimator.h>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(Ages)

// After an outage, a refused client retries with what remains of its deadline.
BOOST_AUTO_TEST_CASE(a_retrying_client_is_recognised_by_its_shorter_deadline)
{
    ClientAgeEstimator estimator;
    BOOST_TEST(estimator.estimateAge("draft", Milliseconds(8000)).count() == 0);
    BOOST_TEST(estimator.estimateAge("draft", Milliseconds(5400)).count() == 2600);
    BOOST_TEST(estimator.estimateAge("draft", Milliseconds(8000)).count() == 0);
}

BOOST_AUTO_TEST_CASE(routes_have_separate_deadlines)
{
    ClientAgeEstimator estimator;
    estimator.estimateAge("draft", Milliseconds(8000));
    BOOST_TEST(estimator.estimateAge("look", Milliseconds(1000)).count() == 0);
}

BOOST_AUTO_TEST_CASE(network_latency_does_not_count_as_age)
{
    ClientAgeEstimator estimator;
    estimator.estimateAge("draft", Milliseconds(8000));
    BOOST_TEST(estimator.estimateAge("draft", Milliseconds(7990)).count() == 0);
}

BOOST_AUTO_TEST_CASE(the_number_of_remembered_routes_is_bounded)
{
    ClientAgeEstimator estimator;
    estimator.estimateAge("draft", Milliseconds(8000));
    for (int route = 0; route < 10000; ++route)
        estimator.estimateAge(std::to_string(route), Milliseconds(1000));
    BOOST_TEST(estimator.estimateAge("draft", Milliseconds(5400)).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
