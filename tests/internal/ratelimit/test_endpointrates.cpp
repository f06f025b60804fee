#include <burdockhead/ratelimit/endpointrates.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const EndpointRun endpoint = {EndpointName("e1"), 5};
const EndpointRun nextRun = {EndpointName("e1"), 6};

RateStatement statement(std::optional<double> rate, int requestedAt, int respondedAt,
                        const EndpointRun &run = endpoint)
{
    return {run, rate, TimePoint(Milliseconds(requestedAt)), TimePoint(Milliseconds(respondedAt))};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rates)

BOOST_AUTO_TEST_CASE(a_rate_holds_until_a_later_response_names_none)
{
    EndpointRates rates;
    BOOST_TEST(
        (rates.record(statement(std::nullopt, 0, 10), RateSource::Response) == RateChange::None));
    BOOST_TEST((rates.record(statement(2.5, 20, 30), RateSource::Response) == RateChange::Learned));
    BOOST_TEST((rates.rateOf(endpoint) == 2.5));
    BOOST_TEST((rates.record(statement(2.5, 40, 50), RateSource::Response) == RateChange::None));
    BOOST_TEST((rates.record(statement(4, 60, 70), RateSource::Response) == RateChange::Changed));
    BOOST_TEST((rates.rateOf(endpoint) == 4.0));
    BOOST_TEST(
        (rates.record(statement(std::nullopt, 80, 90), RateSource::Response) == RateChange::Ended));
    BOOST_TEST(!rates.rateOf(endpoint).has_value());
}

// Such as the head of a stream that has waited for its first event.
BOOST_AUTO_TEST_CASE(a_response_whose_request_was_sent_before_the_rate_was_named_does_not_end_it)
{
    EndpointRates rates;
    rates.record(statement(2, 100, 200), RateSource::Response);
    BOOST_TEST(
        (rates.record(statement(std::nullopt, 50, 300), RateSource::Response) == RateChange::None));
    BOOST_TEST((rates.record(statement(9, 50, 300), RateSource::Response) == RateChange::None));
    BOOST_TEST((rates.rateOf(endpoint) == 2.0));
    BOOST_TEST((rates.record(statement(1, 50, 300), RateSource::Response) == RateChange::Changed));
    BOOST_TEST((rates.rateOf(endpoint) == 1.0));
}

BOOST_AUTO_TEST_CASE(an_older_statement_that_another_gateway_passes_on_changes_nothing)
{
    EndpointRates rates;
    rates.record(statement(2, 100, 200), RateSource::Response);
    rates.record(statement(std::nullopt, 300, 400), RateSource::Response);
    BOOST_TEST((rates.record(statement(2, 100, 200), RateSource::Response) == RateChange::None));
    BOOST_TEST((rates.record(statement(1, 250, 280), RateSource::Response) == RateChange::None));
    BOOST_TEST(!rates.rateOf(endpoint).has_value());
}

BOOST_AUTO_TEST_CASE(a_rate_belongs_to_one_run_of_an_endpoint)
{
    EndpointRates rates;
    rates.record(statement(2, 100, 200), RateSource::Response);
    BOOST_TEST(!rates.rateOf(nextRun).has_value());
    BOOST_TEST((rates.record(statement(3, 300, 400, nextRun), RateSource::Response)
                == RateChange::Learned));
    BOOST_TEST((rates.rateOf(endpoint) == 2.0));
}

BOOST_AUTO_TEST_CASE(the_memory_for_rates_is_bounded)
{
    EndpointRates rates;
    for (std::uint64_t run = 0; run < 10000; ++run)
        rates.record(statement(1, 0, 10, {EndpointName("e"), run}), RateSource::Response);
    BOOST_TEST(rates.statements().size() == 4096U);
    rates.removeExpired(TimePoint(Seconds(601)));
    BOOST_TEST(rates.statements().empty());
}

BOOST_AUTO_TEST_SUITE_END()
