#include <burdockhead/observe/hybridclock.h>
#include <burdockhead/observe/wallclock.h>

#include <property.h>

using namespace burdockhead;

namespace {

constexpr std::size_t processCount = 3;

// The oracle: which events an event can have been caused by, as counts per process.
using VectorTime = std::array<std::uint64_t, processCount>;

bool happenedBefore(const VectorTime &left, const VectorTime &right)
{
    for (std::size_t index = 0; index < processCount; ++index) {
        if (left.at(index) > right.at(index))
            return false;
    }
    return left != right;
}

struct StampedEvent
{
    HybridTime m_time;
    VectorTime m_cause;
};

// One local event, with a message sent from it and received at once or later, twice or never.
struct Step
{
    std::size_t m_process = 0;
    std::size_t m_message = 0; // Which earlier event's message arrives first; a large one: none.
    std::uint64_t m_wall = 0;  // What the VM's clock shows; the clocks jump about.
};

// Runs the steps; naive time stamps are the wall clock's.
std::vector<StampedEvent> run(const std::vector<Step> &steps, bool naive)
{
    std::array<HybridClock, processCount> clocks;
    std::array<VectorTime, processCount> causes = {};
    std::vector<StampedEvent> events;
    for (const Step &step : steps) {
        HybridClock &clock = clocks.at(step.m_process);
        VectorTime &cause = causes.at(step.m_process);
        if (step.m_message < events.size()) {
            const StampedEvent &sent = events[step.m_message];
            clock.receive(sent.m_time, step.m_wall);
            for (std::size_t index = 0; index < processCount; ++index)
                cause.at(index) = std::max(cause.at(index), sent.m_cause.at(index));
        }
        ++cause.at(step.m_process);
        const HybridTime tick = clock.tick(step.m_wall);
        events.push_back({naive ? HybridTime{step.m_wall, 0} : tick, cause});
    }
    return events;
}

bool ordersAllCauses(const std::vector<StampedEvent> &events)
{
    for (const StampedEvent &left : events) {
        for (const StampedEvent &right : events) {
            if (happenedBefore(left.m_cause, right.m_cause) && !(left.m_time < right.m_time))
                return false;
        }
    }
    return true;
}

rc::Gen<std::vector<Step>> someSteps()
{
    const auto step = rc::gen::build<Step>(
        rc::gen::set(&Step::m_process, rc::gen::inRange<std::size_t>(0, processCount)),
        rc::gen::set(&Step::m_message, rc::gen::inRange<std::size_t>(0, 30)),
        rc::gen::set(&Step::m_wall, rc::gen::inRange<std::uint64_t>(1000, 1100)));
    return rc::gen::container<std::vector<Step>>(step);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HybridClocks)

BOOST_AUTO_TEST_CASE(a_cause_is_always_earlier_than_its_effect)
{
    checkProperty("causal order", [] { RC_ASSERT(ordersAllCauses(run(*someSteps(), false))); });
}

BOOST_AUTO_TEST_CASE(the_wall_clock_alone_is_caught)
{
    const std::vector<Step> steps = {{0, 99, 1050}, {1, 0, 1000}};
    BOOST_TEST(!ordersAllCauses(run(steps, true)));
    BOOST_TEST(ordersAllCauses(run(steps, false)));
}

BOOST_AUTO_TEST_CASE(a_time_far_ahead_is_left_out)
{
    HybridClock clock;
    BOOST_TEST(!clock.receive({1000000, 0}, 1000));
    BOOST_TEST((clock.tick(1000) == HybridTime{1000, 0}));
}

BOOST_AUTO_TEST_CASE(times_are_printed_in_utc_and_read_back)
{
    BOOST_TEST((HybridTime{1764799805123, 4}).toString() == "2025-12-03T22:10:05.123+4");
    BOOST_TEST(parseWallTime("2025-12-03T22:10:05.123Z").value() == 1764799805123U);
    BOOST_TEST(parseWallTime("2025-12-03T22:10:05").value() == 1764799805000U);
    BOOST_TEST(parseWallTime("1764799805123").value() == 1764799805123U);
    for (const char *text : {"", "yesterday", "2025-12-03", "2025-12-03T22:10:05.1234"})
        BOOST_TEST(!parseWallTime(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
