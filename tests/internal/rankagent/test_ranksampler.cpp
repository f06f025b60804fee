#include <burdockhead/rankagent/expertdemand.h>
#include <burdockhead/rankagent/ranksampler.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <set>

using namespace burdockhead;

namespace {

constexpr std::uint32_t ranks = 72;
constexpr std::uint32_t ranksOfDataCentre = 24;
constexpr std::size_t most = 17;
constexpr Milliseconds betweenRounds{150};
constexpr std::size_t layers = 2;
constexpr std::size_t experts = 8;

std::vector<std::uint32_t> allRanks()
{
    std::vector<std::uint32_t> all(ranks);
    std::iota(all.begin(), all.end(), 0);
    return all;
}

// The first ranks, as they were once chosen.
std::vector<std::uint32_t> firstRanks()
{
    std::vector<std::uint32_t> first = allRanks();
    first.resize(most);
    return first;
}

// What a rank counts in a round; the ranks of the first data centre are taken out.
ExpertCounts countsOf(std::uint32_t rank, std::size_t popular)
{
    ExpertCounts counts{1, std::vector<std::uint64_t>(layers * experts, 0)};
    if (rank < ranksOfDataCentre)
        return counts;
    for (std::size_t layer = 0; layer < layers; ++layer) {
        for (std::size_t expert = 0; expert < experts; ++expert)
            counts.m_counts[layer * experts + expert] = expert == popular ? 20000 : 1000;
    }
    return counts;
}

// The rounds until a demand that shifts in the tenth one shows; none within fifty.
template <typename Choose>
std::optional<int> roundsToShift(RankSampler &sample, const Choose &choose)
{
    constexpr int shiftsIn = 10;
    ExpertDemand demand(layers, experts);
    TimePoint now = Clock::now();
    for (int round = 0; round < shiftsIn + 50; ++round) {
        for (const std::uint32_t rank : choose(now)) {
            const ExpertCounts counts = countsOf(rank, round < shiftsIn ? 3 : 5);
            sample.note(rank, counts.m_counts.front() > 0, now);
            demand.add(counts);
        }
        if (demand.endRound())
            return round - shiftsIn;
        now += betweenRounds;
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Sample)

// The load pattern of a large group one of whose data centres is taken out at the start of a day.
BOOST_AUTO_TEST_CASE(a_shift_shows_while_the_first_ranks_data_centre_is_out)
{
    RankSampler sample;
    const auto ours =
        roundsToShift(sample, [&](TimePoint now) { return sample.choose(allRanks(), most, now); });
    BOOST_REQUIRE(ours.has_value());
    BOOST_TEST(*ours <= 1);
    RankSampler unused;
    BOOST_TEST(!roundsToShift(unused, [](TimePoint) { return firstRanks(); }).has_value());
}

BOOST_AUTO_TEST_CASE(ranks_that_count_are_chosen_again)
{
    RankSampler sample;
    const TimePoint now = Clock::now();
    const auto first = sample.choose(allRanks(), most, now);
    for (const std::uint32_t rank : first)
        sample.note(rank, true, now);
    BOOST_TEST(sample.choose(allRanks(), most, now + Seconds(1)) == first);
}

BOOST_AUTO_TEST_CASE(one_rank_that_counts_nothing_leaves_the_others_chosen)
{
    RankSampler sample;
    const TimePoint now = Clock::now();
    const auto first = sample.choose(allRanks(), most, now);
    for (int round = 0; round < 10; ++round)
        sample.note(first.front(), false, now);
    const auto next = sample.choose(allRanks(), most, now);
    BOOST_TEST(std::count(next.begin(), next.end(), first.front()) == 0);
    for (std::size_t index = 1; index < first.size(); ++index)
        BOOST_TEST(std::count(next.begin(), next.end(), first[index]) == 1);
}

BOOST_AUTO_TEST_CASE(the_ranks_come_from_every_part_of_the_group)
{
    const RankSampler sample;
    std::set<std::uint32_t> dataCentres;
    for (const std::uint32_t rank : sample.choose(allRanks(), 6, Clock::now()))
        dataCentres.insert(rank / ranksOfDataCentre);
    BOOST_TEST(dataCentres.size() == 3);
}

BOOST_AUTO_TEST_CASE(a_group_without_requests_still_has_ranks_chosen)
{
    RankSampler sample;
    const TimePoint now = Clock::now();
    for (const std::uint32_t rank : allRanks()) {
        for (int round = 0; round < 10; ++round)
            sample.note(rank, false, now);
    }
    BOOST_TEST(sample.choose(allRanks(), most, now).size() == most);
    BOOST_TEST(sample.choose({4, 9}, most, now).size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
