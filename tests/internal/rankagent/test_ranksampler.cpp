#include <burdockhead/rankagent/expertdemand.h>
#include <burdockhead/rankagent/ranksampler.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <set>

using namespace burdockhead;

namespace {

constexpr std::uint32_t ranks = 72;
constexpr std::uint32_t ranksPerDataCentre = 24;
constexpr std::size_t maxRanks = 17;
constexpr Milliseconds roundInterval{150};
constexpr std::size_t layers = 2;
constexpr std::size_t experts = 8;

std::vector<std::uint32_t> allRanks()
{
    std::vector<std::uint32_t> all(ranks);
    std::iota(all.begin(), all.end(), 0);
    return all;
}

// The first ranks, a naive sample.
std::vector<std::uint32_t> firstRanks()
{
    std::vector<std::uint32_t> first = allRanks();
    first.resize(maxRanks);
    return first;
}

// Counts of a rank in a round; the ranks of the first data centre are taken out.
ExpertCounts countsOf(std::uint32_t rank, std::size_t popular)
{
    ExpertCounts counts{1, std::vector<std::uint64_t>(layers * experts, 0)};
    if (rank < ranksPerDataCentre)
        return counts;
    for (std::size_t layer = 0; layer < layers; ++layer) {
        for (std::size_t expert = 0; expert < experts; ++expert)
            counts.m_counts[layer * experts + expert] = expert == popular ? 20000 : 1000;
    }
    return counts;
}

// Returns the rounds until a shift of the demand in round 10 is detected; none within fifty.
template <typename Choose>
std::optional<int> roundsUntilDetection(RankSampler &sampler, const Choose &choose)
{
    constexpr int shiftRound = 10;
    ExpertDemand demand(layers, experts);
    TimePoint now = Clock::now();
    for (int round = 0; round < shiftRound + 50; ++round) {
        for (const std::uint32_t rank : choose(now)) {
            const ExpertCounts counts = countsOf(rank, round < shiftRound ? 3 : 5);
            sampler.recordReading(rank, counts.m_counts.front() > 0, now);
            demand.add(counts);
        }
        if (demand.endRound())
            return round - shiftRound;
        now += roundInterval;
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Sampler)

// Load pattern: a data centre of a large group is taken out at the start of a day, and its ranks
// count nothing.
BOOST_AUTO_TEST_CASE(a_shift_is_detected_while_the_first_data_centre_is_out)
{
    RankSampler sampler;
    const auto roundsWithSampler = roundsUntilDetection(
        sampler, [&](TimePoint now) { return sampler.choose(allRanks(), maxRanks, now); });
    BOOST_REQUIRE(roundsWithSampler.has_value());
    BOOST_TEST(*roundsWithSampler <= 1);
    RankSampler unusedSampler;
    BOOST_TEST(
        !roundsUntilDetection(unusedSampler, [](TimePoint) { return firstRanks(); }).has_value());
}

BOOST_AUTO_TEST_CASE(ranks_with_counts_stay_chosen)
{
    RankSampler sampler;
    const TimePoint now = Clock::now();
    const auto first = sampler.choose(allRanks(), maxRanks, now);
    for (const std::uint32_t rank : first)
        sampler.recordReading(rank, true, now);
    BOOST_TEST(sampler.choose(allRanks(), maxRanks, now + Seconds(1)) == first);
}

BOOST_AUTO_TEST_CASE(a_rank_without_counts_is_replaced_and_the_others_stay_chosen)
{
    RankSampler sampler;
    const TimePoint now = Clock::now();
    const auto first = sampler.choose(allRanks(), maxRanks, now);
    for (int round = 0; round < 10; ++round)
        sampler.recordReading(first.front(), false, now);
    const auto next = sampler.choose(allRanks(), maxRanks, now);
    BOOST_TEST(std::count(next.begin(), next.end(), first.front()) == 0);
    for (std::size_t index = 1; index < first.size(); ++index)
        BOOST_TEST(std::count(next.begin(), next.end(), first[index]) == 1);
}

BOOST_AUTO_TEST_CASE(the_sample_covers_every_data_centre)
{
    const RankSampler sampler;
    std::set<std::uint32_t> dataCentres;
    for (const std::uint32_t rank : sampler.choose(allRanks(), 6, Clock::now()))
        dataCentres.insert(rank / ranksPerDataCentre);
    BOOST_TEST(dataCentres.size() == 3);
}

BOOST_AUTO_TEST_CASE(ranks_are_chosen_in_a_group_without_requests)
{
    RankSampler sampler;
    const TimePoint now = Clock::now();
    for (const std::uint32_t rank : allRanks()) {
        for (int round = 0; round < 10; ++round)
            sampler.recordReading(rank, false, now);
    }
    BOOST_TEST(sampler.choose(allRanks(), maxRanks, now).size() == maxRanks);
    BOOST_TEST(sampler.choose({4, 9}, maxRanks, now).size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
