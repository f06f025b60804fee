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
        if (!outcome.m_broken.empty()) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << outcome.m_broken);
            return outcome.m_broken;
        }
    }
    return {};
}

Outcome runRestartedQuorum(Omission omission)
{
    FakeWorld world(3, 1, 1, omission);
    world.runUntil(world.now() + Seconds(5));
    const TimePoint start = world.now();
    const auto at = [start](int milliseconds) { return start + Milliseconds(milliseconds); };
    const std::size_t a = 0;
    const std::size_t b = 1;
    const std::size_t c = 2;
    world.add({FaultKind::CutFromPlatform, b, at(0), at(12000)});
    world.add({FaultKind::CutFromPlatform, c, at(0), at(12000)});
    world.add({FaultKind::CutDataCentre, c, at(0), at(1300)});
    world.addChange(at(100), a);
    world.add({FaultKind::CutFromAll, a, at(1200), at(12000)});
    world.add({FaultKind::RestartDataCentre, b, at(1250), at(1300)});
    world.runUntil(at(12000) + recoveryTime);
    return {world.broken(), world.isWhole(), world.acceptedCount()};
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

BOOST_AUTO_TEST_CASE(the_oracle_notices_evidence_dated_by_its_arrival)
{
    BOOST_TEST(firstBroken(Omission::QuestionTime).find("takes work") != std::string::npos);
}

// A data centre that helped to accept a change is restarted whole, cut off from the other
// that has it, and meets only the one that does not.
BOOST_AUTO_TEST_CASE(a_restarted_data_centre_does_not_vouch_for_what_it_forgot)
{
    BOOST_TEST(runRestartedQuorum(Omission::None).m_broken == "");
    BOOST_TEST(runRestartedQuorum(Omission::None).m_whole);
    BOOST_TEST(runRestartedQuorum(Omission::None).m_accepted == 1U);
    const std::string broken = runRestartedQuorum(Omission::Vouching).m_broken;
    BOOST_TEST(broken.find("takes work") != std::string::npos);
}

// While the platform is down and every data centre in contact, service goes on.
BOOST_AUTO_TEST_CASE(an_outage_of_the_platform_alone_stops_no_process)
{
    for (const std::size_t dataCentres : {1U, 2U, 3U, 4U}) {
        FakeWorld world(dataCentres, 2, dataCentres, Omission::None);
        world.runUntil(world.now() + Seconds(5));
        world.add({FaultKind::PlatformDown, 0, world.now(), world.now() + Seconds(60)});
        for (int second = 0; second < 50; ++second) {
            world.runUntil(world.now() + Seconds(1));
            BOOST_TEST(world.isWhole());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
