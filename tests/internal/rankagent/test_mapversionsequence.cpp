#include <burdockhead/rankagent/mapversionsequence.h>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace burdockhead;

namespace {

constexpr std::uint64_t now = 1800000000000000;
constexpr std::uint64_t jump = 2400000; // Microseconds.
constexpr std::uint64_t largestExactFloat = std::uint64_t(1) << 53;

} // namespace

BOOST_AUTO_TEST_SUITE(MapVersionSequenceTest)

// A coordinator gave two maps one version while its clock was behind the group's version.
BOOST_AUTO_TEST_CASE(each_version_is_above_all_earlier_ones_whatever_the_clock_says)
{
    MapVersionSequence versions(7);
    versions.observe(now + jump);
    std::uint64_t highest = now + jump;
    for (const std::uint64_t clock : {now, now, std::uint64_t(0), now + 2 * jump, now}) {
        const std::uint64_t version = versions.next(0, clock);
        BOOST_TEST(version > highest);
        highest = version;
    }
}

BOOST_AUTO_TEST_CASE(coordinators_that_know_the_same_versions_draw_different_ones)
{
    std::set<std::uint64_t> drawn;
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        for (std::uint64_t seed = 0; seed < 5; ++seed) {
            MapVersionSequence versions(seed);
            versions.observe(now + jump);
            drawn.insert(versions.next(rank, now));
        }
    }
    BOOST_TEST(drawn.size() == 15U);
}

BOOST_AUTO_TEST_CASE(a_coordinator_that_knows_no_version_draws_one_of_the_present)
{
    MapVersionSequence before(1);
    MapVersionSequence after(0);
    BOOST_TEST(after.next(0, now + jump) > before.next(2, now));
}

BOOST_AUTO_TEST_CASE(refused_versions_are_left_behind_in_a_few_attempts)
{
    const std::uint64_t refused = now + 1000 * jump; // 40 minutes ahead.
    MapVersionSequence versions(3);
    int attempts = 0;
    while (versions.next(0, now) <= refused) {
        versions.skipAhead();
        ++attempts;
    }
    BOOST_TEST(attempts < 12);
}

BOOST_AUTO_TEST_CASE(an_accepted_version_ends_the_doubling_of_what_is_left_out)
{
    MapVersionSequence versions(3);
    const std::uint64_t first = versions.next(0, now);
    for (int attempt = 0; attempt < 8; ++attempt)
        versions.skipAhead();
    versions.onAccepted();
    const std::uint64_t accepted = versions.next(0, now);
    versions.skipAhead();
    BOOST_TEST(versions.next(0, now) - accepted < (accepted - first) / 8);
}

BOOST_AUTO_TEST_CASE(years_of_plans_stay_below_the_numbers_that_floats_hold_exactly)
{
    MapVersionSequence versions(~std::uint64_t(0));
    const std::uint64_t first = versions.next(2, now);
    const std::uint64_t plansPerYear = std::uint64_t(10) * 3600 * 24 * 365;
    BOOST_TEST((largestExactFloat - first) / (versions.next(2, now) - first) > 50 * plansPerYear);
}

BOOST_AUTO_TEST_SUITE_END()
