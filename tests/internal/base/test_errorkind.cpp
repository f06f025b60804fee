#include <burdockhead/base/erroranswer.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(ErrorKinds)

BOOST_AUTO_TEST_CASE(every_kind_has_a_name_that_reads_back)
{
    for (std::size_t index = 0; index < errorKindCount; ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        BOOST_TEST((errorKindFromString(toString(kind)) == kind));
    }
    BOOST_TEST(!errorKindFromString("no_such_kind").has_value());
}

BOOST_AUTO_TEST_CASE(a_refusal_that_asks_to_come_back_did_not_run_or_is_a_failure)
{
    for (std::size_t index = 0; index < errorKindCount; ++index) {
        const ErrorAnswer &answer = answerFor(static_cast<ErrorKind>(index));
        BOOST_TEST(answer.m_httpStatus >= 400);
        if (answer.m_tellsWhenToComeBack)
            BOOST_TEST((answer.m_httpStatus == 429 || answer.m_httpStatus >= 500));
    }
}

BOOST_AUTO_TEST_SUITE_END()
