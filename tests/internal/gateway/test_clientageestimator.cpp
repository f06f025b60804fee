#include <burdockhead/gateway/clientageestimator.h>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(Ages)

// The load pattern of an outage: a client that was refused comes back with what is left of its
// deadline.
BOOST_AUTO_TEST_CASE(a_client_that_comes_back_shows_by_its_shorter_deadline)
{
    ClientAgeEstimator ages;
    BOOST_TEST(ages.estimateAge("draft", Milliseconds(8000)).count() == 0);
    BOOST_TEST(ages.estimateAge("draft", Milliseconds(5400)).count() == 2600);
    BOOST_TEST(ages.estimateAge("draft", Milliseconds(8000)).count() == 0);
}

BOOST_AUTO_TEST_CASE(routes_have_deadlines_of_their_own)
{
    ClientAgeEstimator ages;
    ages.estimateAge("draft", Milliseconds(8000));
    BOOST_TEST(ages.estimateAge("look", Milliseconds(1000)).count() == 0);
}

BOOST_AUTO_TEST_CASE(the_way_to_the_gateway_does_not_make_a_client_older)
{
    ClientAgeEstimator ages;
    ages.estimateAge("draft", Milliseconds(8000));
    BOOST_TEST(ages.estimateAge("draft", Milliseconds(7990)).count() == 0);
}

BOOST_AUTO_TEST_CASE(ever_new_routes_are_forgotten_in_the_end)
{
    ClientAgeEstimator ages;
    ages.estimateAge("draft", Milliseconds(8000));
    for (int route = 0; route < 10000; ++route)
        ages.estimateAge(std::to_string(route), Milliseconds(1000));
    BOOST_TEST(ages.estimateAge("draft", Milliseconds(5400)).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
