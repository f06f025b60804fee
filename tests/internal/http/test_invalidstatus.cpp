#include "answerserver.h"

#include <boost/test/unit_test.hpp>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

constexpr const char *body = "0123456789";

bool isAnswer(const std::string &head)
{
    const AnswerServer server("HTTP/1.1 " + head + "\r\n\r\n" + body, false);
    BOOST_REQUIRE(server.isListening());
    return answerOf(server).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(InvalidStatus)

// The library takes any three digits for a status.
BOOST_AUTO_TEST_CASE(a_response_with_a_status_that_none_can_have_is_no_answer)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999", "20", "2000"})
        BOOST_TEST(!isAnswer(status + " X\r\nContent-Length: 10"), status);
    BOOST_TEST(isAnswer("200 X\r\nContent-Length: 10"));
    BOOST_TEST(isAnswer("599 X\r\nContent-Length: 10"));
}

BOOST_AUTO_TEST_CASE(a_response_that_announces_a_body_where_none_may_be_is_no_answer)
{
    for (const std::string status : {"100", "199", "204", "205"})
        BOOST_TEST(!isAnswer(status + " X\r\nContent-Length: 10"), status);
    BOOST_TEST(isAnswer("304 X\r\nContent-Length: 10"));
}

BOOST_AUTO_TEST_SUITE_END()
