#include <burdockhead/rankagent/mapdistribution.h>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};
const ExpertMap map{9, {{{0}, {1}}}};
constexpr std::uint32_t ranks = 24;

std::vector<MapDistribution::Recipient> recipients()
{
    std::vector<MapDistribution::Recipient> all;
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
        all.push_back({{rank, RankOrderType::Prepare, 2, 9, 0},
                       {"10.0.0." + std::to_string(rank + 1), 7260},
                       false});
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MapDistributions)

// Load pattern: a large group, and a coordinator whose link carries a few maps in the time that a
// change should take.
BOOST_AUTO_TEST_CASE(each_rank_is_reached_once_and_few_are_sent_the_map_directly)
{
    MapDistribution distribution;
    std::multiset<std::uint32_t> reached;
    const auto messages = distribution.messages(recipients(), ranks, map, start);
    for (const RankOrderMessage &message : messages) {
        BOOST_TEST((message.m_map == map));
        reached.insert(message.m_order.m_rank);
        for (const ForwardTarget &target : message.m_forwardTo)
            reached.insert(target.m_rank);
        BOOST_TEST(message.m_forwardTo.size() == 2U);
    }
    BOOST_TEST(messages.size() == 8U);
    BOOST_TEST(reached.size() == ranks);
    BOOST_TEST(std::set<std::uint32_t>(reached.begin(), reached.end()).size() == ranks);
}

BOOST_AUTO_TEST_CASE(a_rank_whose_agent_is_unresponsive_is_sent_the_map_directly)
{
    MapDistribution distribution;
    auto all = recipients();
    all[20].m_isUnresponsive = true;
    const auto messages = distribution.messages(all, ranks, map, start);
    BOOST_TEST(messages.size() == 9U);
    BOOST_TEST(messages.back().m_order.m_rank == 20U);
}

BOOST_AUTO_TEST_CASE(a_rank_gets_the_map_again_after_a_while_or_when_its_order_failed)
{
    MapDistribution distribution;
    distribution.messages(recipients(), ranks, map, start);
    BOOST_TEST(distribution.messages(recipients(), ranks, map, start + Milliseconds(500)).empty());
    distribution.onFailed(5);
    const auto repeated =
        distribution.messages(recipients(), ranks, map, start + Milliseconds(500));
    BOOST_TEST_REQUIRE(repeated.size() == 1U);
    BOOST_TEST(repeated.front().m_order.m_rank == 5U);
    BOOST_TEST(!distribution.messages(recipients(), ranks, map, start + Milliseconds(700)).empty());
    distribution.reset();
    BOOST_TEST(distribution.messages(recipients(), ranks, map, start + Milliseconds(700)).size()
               == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
