#include <burdockhead/ratelimit/requestpacer.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};

// Lets one request pass and be answered at once.
bool passes(RequestPacer &pacer, TimePoint now)
{
    if (!pacer.allows(now))
        return false;
    pacer.end(pacer.begin(), now);
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Pacer)

BOOST_AUTO_TEST_CASE(requests_pass_at_their_pace_and_not_at_once_when_it_is_set)
{
    RequestPacer pacer;
    pacer.setPace(RequestPace{0.5, 1}, start);
    BOOST_TEST(!pacer.allows(start));
    unsigned passed = 0;
    for (TimePoint now = start; now <= start + Seconds(20); now += Milliseconds(10))
        passed += passes(pacer, now) ? 1 : 0;
    BOOST_TEST(passed == 10U);
}

BOOST_AUTO_TEST_CASE(a_request_that_is_not_answered_keeps_its_place)
{
    RequestPacer pacer;
    pacer.setPace(RequestPace{1, 1}, start);
    const TimePoint sentAt = start + Seconds(1);
    BOOST_REQUIRE(pacer.allows(sentAt));
    const std::uint64_t ticket = pacer.begin();
    BOOST_TEST(!pacer.allows(sentAt + Seconds(60)));
    pacer.end(ticket, sentAt + Seconds(60));
    BOOST_TEST(!pacer.allows(sentAt + Milliseconds(60900)));
    BOOST_TEST(pacer.allows(sentAt + Seconds(61)));
}

BOOST_AUTO_TEST_CASE(a_request_that_was_never_sent_uses_nothing)
{
    RequestPacer pacer;
    pacer.setPace(RequestPace{1, 1}, start);
    const TimePoint now = start + Seconds(1);
    for (int count = 0; count < 10; ++count) {
        BOOST_REQUIRE(pacer.allows(now));
        pacer.cancel(pacer.begin());
    }
}

BOOST_AUTO_TEST_CASE(a_pace_of_nothing_lets_nothing_pass)
{
    RequestPacer pacer;
    pacer.setPace(RequestPace{0, 1}, start);
    BOOST_TEST(!pacer.allows(start + Seconds(3600)));
    pacer.setPace(std::nullopt, start + Seconds(3600));
    BOOST_TEST(pacer.allows(start + Seconds(3600)));
}

// Requests from before a pace was set, or from an earlier one, don't count against it.
BOOST_AUTO_TEST_CASE(only_requests_of_the_present_pace_count)
{
    RequestPacer pacer;
    const std::uint64_t before = pacer.begin();
    pacer.setPace(RequestPace{1, 1}, start);
    const std::uint64_t earlier = pacer.begin();
    pacer.setPace(std::nullopt, start);
    pacer.setPace(RequestPace{1, 1}, start);
    pacer.end(before, start);
    pacer.end(earlier, start);
    BOOST_TEST(pacer.allows(start + Seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_pace_that_becomes_slower_applies_at_once)
{
    RequestPacer pacer;
    pacer.setPace(RequestPace{10, 10}, start);
    const TimePoint later = start + Seconds(5);
    BOOST_TEST(pacer.allows(later));
    pacer.setPace(RequestPace{0.1, 1}, later);
    unsigned passed = 0;
    for (TimePoint now = later; now < later + Seconds(10); now += Milliseconds(10))
        passed += passes(pacer, now) ? 1 : 0;
    BOOST_TEST(passed == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
