#include "fakeworld.h"

#include <property.h>

using namespace burdockhead;

namespace {

constexpr Seconds faultTime(16);    // Faults and changes begin within this time.
constexpr Seconds recoveryTime(15); // After the last fault everything is whole again.

struct Outcome
{
    std::string m_broken;
    bool m_whole = false;
    std::size_t m_accepted = 0;
};

struct Plan
{
    std::size_t m_dataCentres = 3;
    std::size_t m_entries = 2;
    std::uint64_t m_seed = 0;
    std::size_t m_faults = 4;
};

// One run: a warm-up, faults that overlap, racing changes, and time to recover.
Outcome runPlan(const Plan &plan, Omission omission)
{
    Random random(plan.m_seed);
    FakeWorld world(plan.m_dataCentres, plan.m_entries, plan.m_seed, omission);
    world.runUntil(world.now() + Seconds(5));
    const TimePoint start = world.now();
    const auto within = [&] { return start + Milliseconds(random() % 16000); };
    TimePoint end = start + faultTime;
    for (std::size_t index = 0; index < plan.m_faults; ++index) {
        const TimePoint from = within();
        const TimePoint until = from + Milliseconds(100 + random() % 9000);
        world.add({static_cast<FaultKind>(random() % faultKindCount), random(), from, until});
        end = std::max(end, until);
    }
    for (int index = 0; index < 8; ++index) {
        const TimePoint at = within();
        world.addChange(at, random());
        if (random() % 2 == 0)
            world.addChange(at + Milliseconds(random() % 30), random());
    }
    world.runUntil(end + recoveryTime);
    return {world.broken(), world.isWhole(), world.acceptedCount()};
}

Plan drawPlan()
{
    Plan plan;
    plan.m_dataCentres = *rc::gen::inRange<std::size_t>(1, 5);
    plan.m_entries = *rc::gen::inRange<std::size_t>(1, 4);
    plan.m_faults = *rc::gen::inRange<std::size_t>(0, 7);
    plan.m_seed = *rc::gen::arbitrary<std::uint64_t>();
    return plan;
}

// The first seed of many whose run breaks a promise; none if no run does.
std::string firstBroken(Omission omission)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const Outcome outcome = runPlan({3, 2, seed, 6}, omission);
        if (!outcome.m_broken.empty())
            return outcome.m_broken;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Promises)

BOOST_AUTO_TEST_CASE(no_process_takes_work_without_what_was_accepted_three_seconds_ago)
{
    std::size_t accepted = 0;
    checkProperty("faults, two and more at a time", [&accepted] {
        const Plan plan = drawPlan();
        const Outcome outcome = runPlan(plan, Omission::None);
        if (!outcome.m_broken.empty())
            RC_FAIL(outcome.m_broken);
        RC_ASSERT(outcome.m_whole);
        accepted += outcome.m_accepted;
    });
    BOOST_TEST_MESSAGE("changes accepted: " << accepted);
    BOOST_TEST(accepted > 100U);
}

BOOST_AUTO_TEST_CASE(the_oracle_notices_a_missing_currency_check)
{
    BOOST_TEST(firstBroken(Omission::CurrencyCheck).find("takes work") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_oracle_notices_acceptance_without_a_quorum)
{
    BOOST_TEST(firstBroken(Omission::Quorum).find("takes work") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
