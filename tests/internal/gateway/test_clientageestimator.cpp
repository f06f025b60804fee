#include <burdockhead/base/random.h>
#include <burdockhead/gateway/clientageestimator.h>

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(Ages)

// After an outage, a refused client retries with what remains of its deadline.
BOOST_AUTO_TEST_CASE(a_retrying_client_is_recognised_by_its_shorter_deadline)
{
    ClientAgeEstimator estimator;
    for (int request = 0; request < 1000; ++request)
        BOOST_TEST(estimator.estimateAge("draft", Milliseconds(8000)).count() == 0);
    const Milliseconds age = estimator.estimateAge("draft", Milliseconds(5400));
    BOOST_TEST((age > Milliseconds(2000) && age <= Milliseconds(2600)));
    BOOST_TEST(estimator.estimateAge("draft", Milliseconds(8000)).count() == 0);
}

// Right after a start most requests may be retries.
BOOST_AUTO_TEST_CASE(a_retry_is_recognised_among_the_first_requests)
{
    ClientAgeEstimator estimator;
    estimator.estimateAge("draft", Milliseconds(7900));
    BOOST_TEST(estimator.estimateAge("draft", Milliseconds(5400)).count() > 0);
    BOOST_TEST(estimator.estimateAge("draft", Milliseconds(7000)).count() == 0);
}

BOOST_AUTO_TEST_CASE(clients_of_different_patience_are_not_taken_for_retrying_ones)
{
    for (const double shortest : {0.85, 0.6}) {
        ClientAgeEstimator estimator;
        Random random(1);
        std::uniform_real_distribution<double> patience(shortest, 1);
        const auto request = [&] {
            return estimator.estimateAge("draft",
                                         Milliseconds(static_cast<int>(8000 * patience(random))));
        };
        for (int count = 0; count < 1000; ++count)
            request();
        unsigned mistaken = 0;
        for (int count = 0; count < 1000; ++count)
            mistaken += request().count() > 0 ? 1 : 0;
        BOOST_TEST(mistaken < 20U);
        BOOST_TEST(estimator.estimateAge("draft", Milliseconds(3000)).count() > 0);
    }
}

// For some seconds half of the requests are retries, after refusals at different times.
BOOST_AUTO_TEST_CASE(retries_after_an_outage_do_not_pass_for_first_attempts)
{
    ClientAgeEstimator estimator;
    Random random(1);
    std::uniform_real_distribution<double> patience(0.85, 1);
    std::uniform_real_distribution<double> age(1000, 4000);
    const auto estimate = [&](double earlier) {
        return estimator.estimateAge(
            "draft", Milliseconds(static_cast<int>(8000 * patience(random) - earlier)));
    };
    for (int count = 0; count < 300; ++count)
        estimate(0);
    unsigned recognised = 0;
    unsigned mistaken = 0;
    for (int count = 0; count < 200; ++count) {
        recognised += estimate(age(random)).count() > 0 ? 1 : 0;
        mistaken += estimate(0).count() > 0 ? 1 : 0;
    }
    BOOST_TEST(recognised > 170U);
    BOOST_TEST(mistaken < 10U);
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
