#include <burdockhead/gateway/rankreports.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};
const RankReport slowReport{"g0", {{{"10.0.0.7", 80}, 12}}};

} // namespace

BOOST_AUTO_TEST_SUITE(RankReporting)

BOOST_AUTO_TEST_CASE(a_report_that_is_not_repeated_is_forgotten)
{
    RankReports reports;
    BOOST_TEST(reports.record(slowReport, start));
    BOOST_TEST(!reports.record(slowReport, start + Seconds(1)));
    BOOST_TEST(reports.slowRanks(start + Seconds(3)).size() == 1U);
    BOOST_TEST(reports.slowRanks(start + Seconds(4)).empty());
    BOOST_TEST(reports.record(slowReport, start + Seconds(5)));
}

BOOST_AUTO_TEST_CASE(a_group_whose_ranks_are_healthy_again_leaves_those_of_others)
{
    RankReports reports;
    const RankReport other{"g1", {{{"10.0.0.9", 80}, 3}}};
    reports.record(slowReport, start);
    reports.record(other, start);
    BOOST_TEST(reports.record({"g0", {}}, start));
    BOOST_TEST((reports.slowRanks(start) == other.m_slowRanks));
    BOOST_TEST(!reports.record({"g0", {}}, start));
}

BOOST_AUTO_TEST_CASE(a_malformed_report_is_rejected)
{
    const std::string body = writeRankReport(slowReport);
    BOOST_TEST((readRankReport(body) == slowReport));
    for (std::size_t length = 0; length < body.size(); ++length)
        BOOST_TEST(!readRankReport(body.substr(0, length)).has_value());
    BOOST_TEST(!readRankReport(writeRankReport({"g0", {{{"10.0.0.7", 80}, 0.5}}})).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
