#include "deployment.h"

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(WholePath)

BOOST_AUTO_TEST_CASE(requests_of_each_kind_are_served_from_end_to_end)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());

    const auto streamed = deployment.chat("entry-dc-a-0", "digest for branch 7", 400);
    BOOST_REQUIRE(streamed.has_value());
    BOOST_TEST(streamed->m_status == 200);
    BOOST_TEST(streamedTokens(streamed->m_body).size() == 400U);

    const auto whole = deployment.chat("entry-dc-b-0", "digest for branch 7", 16, false);
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST(whole->m_status == 200);

    const auto signedOff = deployment.signOff("entry-dc-a-0", "key-1", "approve 7");
    BOOST_REQUIRE(signedOff.has_value());
    BOOST_TEST(signedOff->m_status == 200);
    const auto again = deployment.signOff("entry-dc-c-0", "key-1", "approve 7");
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->m_body == signedOff->m_body);
    const auto other = deployment.signOff("entry-dc-b-0", "key-1", "approve 8");
    BOOST_REQUIRE(other.has_value());
    BOOST_TEST(other->m_status == 422);

    const auto fetched = deployment.call(deployment.process("entry-dc-a-0").m_main, "GET",
                                         "/v1/services/report/branches/7?year=2026", "",
                                         {{"Burdockhead-Workspace", "office"}});
    BOOST_REQUIRE(fetched.has_value());
    BOOST_TEST(fetched->m_status == 200);

    std::size_t runs = 0;
    for (const std::string &service : deployment.names("service-"))
        runs += deployment.page(service, "/runs")["runs"].size();
    BOOST_TEST(runs == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
