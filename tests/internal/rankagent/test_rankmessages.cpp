#include "property.h"
#include <burdockhead/rankagent/rankmessages.h>

using namespace burdockhead;

namespace {

RankStatus sampleStatus()
{
    RankStatus status;
    status.m_snapshot = {"g0", 3,   5, 16, true, 1777694836900, 812, 4, 5, ArmedMap{5, 820},
                         820,  2.5, 31};
    status.m_counts = {3, {5120, 88, 940}};
    status.m_experts = {4, {{0, 2}, {1, 0}}};
    status.m_sinceRank0Poll = Milliseconds(350);
    return status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RankMessages)

BOOST_AUTO_TEST_CASE(a_status_round_trips)
{
    const auto read = readRankStatus(writeRankStatus(sampleStatus()));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == sampleStatus()));
}

BOOST_AUTO_TEST_CASE(a_truncated_status_is_rejected)
{
    const std::string message = writeRankStatus(sampleStatus());
    for (std::size_t length = 0; length < message.size(); ++length)
        BOOST_TEST(!readRankStatus(message.substr(0, length)).has_value());
}

BOOST_AUTO_TEST_CASE(an_order_round_trips_and_a_truncated_one_is_rejected)
{
    const RankOrderMessage message = {{3, RankOrderType::Prepare, 2, 9, 0},
                                      2,
                                      ExpertMap{9, {{{0}, {0, 1}, {1}}}},
                                      {{4, {"10.0.0.4", 7260}}, {5, {"10.0.0.5", 7260}}}};
    const std::string bytes = writeRankOrder(message);
    BOOST_TEST((readRankOrder(bytes) == message));
    const RankOrderMessage withoutMap = {{0, RankOrderType::Resume, 2, 0, 47, 6}, 2, {}, {}};
    BOOST_TEST((readRankOrder(writeRankOrder(withoutMap)) == withoutMap));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!readRankOrder(bytes.substr(0, length)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
