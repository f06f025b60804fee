#include <burdockhead/observe/hybridclock.h>
#include <burdockhead/observe/wallclock.h>

#include <property.h>

using namespace burdockhead;

namespace {

constexpr std::size_t processCount = 3;

// Test oracle: a vector clock, the number of causally preceding events per process.
using VectorClock = std::array<std::uint64_t, processCount>;

bool happenedBefore(const VectorClock &left, const VectorClock &right)
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
    VectorClock m_vectorClock;
};

// A local event that sends a message, which any later steps may receive once, twice or never.
struct Step
{
    std::size_t m_process = 0;
    std::size_t m_message = 0; // Index of the event whose message is received; too large: none.
    std::uint64_t m_wallMilliseconds = 0; // The VM's wall clock, which may jump in both directions.
};

// Runs the steps and returns the stamped events. Naive timestamps use the wall clock alone.
std::vector<StampedEvent> run(const std::vector<Step> &steps, bool isNaive)
{
    std::array<HybridClock, processCount> clocks;
    std::array<VectorClock, processCount> vectorClocks = {};
    std::vector<StampedEvent> events;
    for (const Step &step : steps) {
        HybridClock &clock = clocks.at(step.m_process);
        VectorClock &vectorClock = vectorClocks.at(step.m_process);
        if (step.m_message < events.size()) {
            const StampedEvent &sent = events[step.m_message];
            clock.receive(sent.m_time, step.m_wallMilliseconds);
            for (std::size_t index = 0; index < processCount; ++index)
                vectorClock.at(index) =
                    std::max(vectorClock.at(index), sent.m_vectorClock.at(index));
        }
        ++vectorClock.at(step.m_process);
        const HybridTime tick = clock.tick(step.m_wallMilliseconds);
        events.push_back({isNaive ? HybridTime{step.m_wallMilliseconds, 0} : tick, vectorClock});
    }
    return events;
}

bool respectsCausalOrder(const std::vector<StampedEvent> &events)
{
    for (const StampedEvent &left : events) {
        for (const StampedEvent &right : events) {
            if (happenedBefore(left.m_vectorClock, right.m_vectorClock)
                && !(left.m_time < right.m_time))
                return false;
        }
    }
    return true;
}

rc::Gen<std::vector<Step>> arbitrarySteps()
{
    const auto step = rc::gen::build<Step>(
        rc::gen::set(&Step::m_process, rc::gen::inRange<std::size_t>(0, processCount)),
        rc::gen::set(&Step::m_message, rc::gen::inRange<std::size_t>(0, 30)),
        rc::gen::set(&Step::m_wallMilliseconds, rc::gen::inRange<std::uint64_t>(1000, 1100)));
    return rc::gen::container<std::vector<Step>>(step);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HybridClocks)

BOOST_AUTO_TEST_CASE(timestamps_respect_causal_order)
{
    checkProperty("causal order",
                  [] { RC_ASSERT(respectsCausalOrder(run(*arbitrarySteps(), false))); });
}

BOOST_AUTO_TEST_CASE(wall_clock_timestamps_alone_violate_causal_order)
{
    const std::vector<Step> steps = {{0, 99, 1050}, {1, 0, 1000}};
    BOOST_TEST(!respectsCausalOrder(run(steps, true)));
    BOOST_TEST(respectsCausalOrder(run(steps, false)));
}

BOOST_AUTO_TEST_CASE(a_timestamp_far_ahead_is_rejected)
{
    HybridClock clock;
    BOOST_TEST(!clock.receive({1000000, 0}, 1000));
    BOOST_TEST((clock.tick(1000) == HybridTime{1000, 0}));
}

BOOST_AUTO_TEST_CASE(times_are_printed_in_utc_and_parsed_back)
{
    BOOST_TEST((HybridTime{1764799805123, 4}).toString() == "2025-12-03T22:10:05.123+4");
    BOOST_TEST(parseWallTime("2025-12-03T22:10:05.123Z").value() == 1764799805123U);
    BOOST_TEST(parseWallTime("2025-12-03T22:10:05").value() == 1764799805000U);
    BOOST_TEST(parseWallTime("1764799805123").value() == 1764799805123U);
    for (const char *text : {"", "yesterday", "2025-12-03", "2025-12-03T22:10:05.1234"})
        BOOST_TEST(!parseWallTime(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
