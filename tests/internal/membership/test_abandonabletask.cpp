#include <burdockhead/membership/abandonabletask.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <memory>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(AbandonableTasks)

BOOST_AUTO_TEST_CASE(the_end_of_an_action_is_awaited)
{
    const auto isDone = std::make_shared<std::atomic<bool>>(false);
    const AbandonableTask task([isDone] { *isDone = true; });
    BOOST_TEST(task.waitUntil(Clock::now() + Seconds(10)));
    BOOST_TEST(isDone->load());
}

// A stop must end though a library's call in it doesn't.
BOOST_AUTO_TEST_CASE(an_action_that_does_not_return_is_abandoned_at_the_deadline)
{
    const auto release = std::make_shared<std::promise<void>>();
    const TimePoint startedAt = Clock::now();
    {
        const AbandonableTask task([release] { release->get_future().wait(); });
        BOOST_TEST(!task.waitUntil(startedAt + Milliseconds(50)));
    }
    BOOST_TEST((Clock::now() - startedAt < Seconds(5)));
    release->set_value();
}

BOOST_AUTO_TEST_SUITE_END()
