#include <burdockhead/rankagent/mapassembly.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

// One layer of three experts on two ranks, each of which holds two.
RankStatuses statuses()
{
    RankStatuses ranks;
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
        RankStatus &status = ranks[rank];
        status.m_snapshot.m_rank = rank;
        status.m_snapshot.m_rankCount = 2;
        status.m_snapshot.m_mapVersion = 7;
        status.m_experts = {7, {{rank, 2}}};
    }
    return ranks;
}

ExpertShape shape()
{
    ExpertShape shape;
    shape.m_layers = 1;
    shape.m_experts = 3;
    return shape;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MapAssembly)

BOOST_AUTO_TEST_CASE(the_map_has_each_expert_on_the_ranks_that_hold_it)
{
    const ExpertMap expected = {7, {{{0}, {1}, {0, 1}}}};
    BOOST_TEST((assembleMap(statuses(), shape()) == expected));
}

BOOST_AUTO_TEST_CASE(there_is_no_map_without_all_ranks_or_while_they_change_it)
{
    RankStatuses incomplete = statuses();
    incomplete.erase(1);
    BOOST_TEST(!assembleMap(incomplete, shape()).has_value());
    BOOST_TEST(!assembleMap({}, shape()).has_value());
    RankStatuses changing = statuses();
    changing[1].m_snapshot.m_mapVersion = 8;
    BOOST_TEST(!assembleMap(changing, shape()).has_value());
    RankStatuses readBefore = statuses();
    readBefore[1].m_experts.m_version = 6;
    BOOST_TEST(!assembleMap(readBefore, shape()).has_value());
}

BOOST_AUTO_TEST_CASE(there_is_no_map_when_an_expert_is_unknown_or_nowhere)
{
    RankStatuses unknown = statuses();
    unknown[1].m_experts.m_layers[0].push_back(3);
    BOOST_TEST(!assembleMap(unknown, shape()).has_value());
    RankStatuses nowhere = statuses();
    nowhere[1].m_experts.m_layers[0] = {2};
    BOOST_TEST(!assembleMap(nowhere, shape()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
