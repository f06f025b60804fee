#include "property.h"
#include <burdockhead/ratelimit/ratemessage.h>

using namespace burdockhead;

namespace {

const TimePoint sentAt{Seconds(1000)};
const TimePoint receivedAt{Seconds(50)}; // Of another VM's clock.

const std::vector<RateStatement> statements = {
    {{EndpointName("e1"), 5}, 2.5, sentAt - Milliseconds(300), sentAt - Milliseconds(100)},
    {{EndpointName("e2"), 7}, std::nullopt, sentAt - Milliseconds(40), sentAt}};

} // namespace

BOOST_AUTO_TEST_SUITE(RateMessages)

BOOST_AUTO_TEST_CASE(statements_keep_their_age)
{
    const auto read = readRateMessage(writeRateMessage(statements, sentAt), receivedAt);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->size() == 2U);
    BOOST_TEST((read->front().m_endpoint == statements.front().m_endpoint));
    BOOST_TEST((read->front().m_requestsPerSecond == 2.5));
    BOOST_TEST((read->front().m_requestedAt == receivedAt - Milliseconds(300)));
    BOOST_TEST((read->front().m_respondedAt == receivedAt - Milliseconds(100)));
    BOOST_TEST(!read->back().m_requestsPerSecond.has_value());
}

BOOST_AUTO_TEST_CASE(a_truncated_datagram_is_rejected)
{
    const std::string message = writeRateMessage(statements, sentAt);
    for (std::size_t length = 0; length < message.size(); ++length)
        BOOST_TEST(!readRateMessage(message.substr(0, length), receivedAt).has_value());
}

BOOST_AUTO_TEST_CASE(a_rate_that_is_no_finite_number_is_rejected)
{
    for (const double rate : {-1.0, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()}) {
        std::vector<RateStatement> wrong = statements;
        wrong.front().m_requestsPerSecond = rate;
        BOOST_TEST(!readRateMessage(writeRateMessage(wrong, sentAt), receivedAt).has_value());
    }
}

BOOST_AUTO_TEST_CASE(any_bytes_are_read_without_harm)
{
    checkProperty("bytes", [](const std::string &bytes) {
        const auto read = readRateMessage(bytes, receivedAt);
        RC_ASSERT(!read || read->size() <= 64U);
    });
}

BOOST_AUTO_TEST_SUITE_END()
