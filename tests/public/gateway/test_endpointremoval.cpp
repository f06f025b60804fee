#include "gatewayfixture.h"

#include <csignal>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// After this time a removed endpoint gets no requests; the default of the gateway's settings.
constexpr Milliseconds leaveTime{2000};

// Sends requests until that time and returns how many of them reached the endpoint.
std::size_t requestsReaching(GatewayFixture &fixture, const EndpointStandIn &endpoint,
                             TimePoint end)
{
    const std::size_t before = endpoint.ran().size();
    while (Clock::now() < end) {
        fixture.request("GET", "/safe/x");
        fixture.waitFor(Milliseconds(5));
    }
    return endpoint.ran().size() - before;
}

} // namespace

// The gateway learns of a removal long after it was made, and the endpoint must not be used as if
// it had just left.
BOOST_FIXTURE_TEST_SUITE(EndpointRemoval, GatewayFixture)

BOOST_AUTO_TEST_CASE(
    an_endpoint_that_left_while_the_watch_was_silent_is_not_used_once_that_is_known)
{
    start();
    waitFor(Milliseconds(1500));
    m_store.silenceWatches();
    m_store.remove("servers", m_app[0]->id());
    const TimePoint removedAt = Clock::now();
    const std::size_t calls = m_store.calls("servers");
    waitUntil([&] { return m_store.calls("servers") > calls; });
    waitFor(Milliseconds(50));
    waitUntil([&] { return Clock::now() >= removedAt + leaveTime; });
    BOOST_TEST(requestsReaching(*this, *m_app[0], Clock::now() + leaveTime) == 0U);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_left_while_the_gateway_was_paused_is_not_used_when_it_resumes)
{
    start();
    waitFor(Milliseconds(1500));
    m_gateway->signal(SIGSTOP);
    m_store.remove("servers", m_app[0]->id());
    waitFor(leaveTime + Milliseconds(500));
    m_gateway->signal(SIGCONT);
    waitFor(Milliseconds(100));
    BOOST_TEST(requestsReaching(*this, *m_app[0], Clock::now() + leaveTime) == 0U);
}

// Watches miss a removal for a second, until the store drops its history and cuts them.
BOOST_AUTO_TEST_CASE(an_endpoint_that_left_in_a_dropped_history_is_not_used_after_the_time_limit)
{
    start();
    waitFor(Milliseconds(1500));
    m_store.setDeaf(true);
    m_store.remove("servers", m_app[0]->id());
    const TimePoint removedAt = Clock::now();
    waitFor(Milliseconds(1000));
    m_store.setDeaf(false);
    m_store.forgetHistory();
    waitUntil([&] { return Clock::now() >= removedAt + leaveTime; });
    BOOST_TEST(requestsReaching(*this, *m_app[0], Clock::now() + leaveTime) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
