#include "gatewayfixture.h"

#include <algorithm>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// From this time after it first names its rate, an endpoint may get so many times what the rate
// allows in the window, and a few requests more.
constexpr Milliseconds learningTime{3000};
constexpr Milliseconds window{4000};
constexpr double toleratedFactor = 1.5;
constexpr double toleratedRequests = 5;

constexpr Milliseconds requestInterval{15};
// A refusal at once; a busy machine takes some of it.
constexpr Milliseconds promptly{300};

struct Fixture : GatewayFixture
{
    void startGateways(std::size_t count)
    {
        start();
        m_gateways.push_back(m_clients);
        for (std::size_t number = 2; number <= count; ++number) {
            m_further.push_back(startFurtherGateway("g" + std::to_string(number)));
            m_gateways.push_back(m_further.back().m_clients);
        }
    }

    // Sends requests at short intervals, to the gateways in turn.
    void sendFor(Milliseconds span, const std::vector<SocketAddress> &gateways)
    {
        for (const TimePoint end = Clock::now() + span; Clock::now() < end;) {
            const std::size_t gateway = m_calls.size() % gateways.size();
            m_sentAt.push_back(Clock::now());
            m_calls.push_back(callAt(gateways[gateway], "GET", "/safe/x"));
            waitFor(requestInterval);
            noteEnds();
        }
    }

    void waitForAnswers()
    {
        waitUntil([&] {
            noteEnds();
            return m_ended == m_calls.size();
        });
    }

    // Returns the most requests in a window, once the rate has been named for the learning time.
    static std::size_t mostInWindow(const EndpointStandIn &endpoint, TimePoint namedAt)
    {
        std::size_t most = 0;
        for (const TimePoint from : endpoint.arrivals()) {
            if (from < namedAt + learningTime)
                continue;
            most = std::max(most, arrivalsBetween(endpoint, from, from + window));
        }
        return most;
    }

    static std::size_t arrivalsBetween(const EndpointStandIn &endpoint, TimePoint from,
                                       TimePoint until)
    {
        return static_cast<std::size_t>(
            std::count_if(endpoint.arrivals().begin(), endpoint.arrivals().end(),
                          [&](TimePoint time) { return time >= from && time < until; }));
    }

    static double allowed(double rate)
    {
        return toleratedFactor * rate * std::chrono::duration<double>(window).count()
               + toleratedRequests;
    }

    std::size_t served() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_calls.begin(), m_calls.end(),
                          [](const auto &call) { return call->status() == 200; }));
    }

    std::vector<FurtherGateway> m_further;
    std::vector<SocketAddress> m_gateways;
    std::vector<std::unique_ptr<ClientCall>> m_calls;
    std::vector<TimePoint> m_sentAt;
    std::vector<Duration> m_elapsed; // Of each call that has ended; 0 for the others.
    std::size_t m_ended = 0;

private:
    void noteEnds()
    {
        m_elapsed.resize(m_calls.size());
        for (std::size_t index = 0; index < m_calls.size(); ++index) {
            if (m_elapsed[index].count() == 0 && m_calls[index]->hasEnded()) {
                m_elapsed[index] = Clock::now() - m_sentAt[index];
                ++m_ended;
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(NamedRates, Fixture)

BOOST_AUTO_TEST_CASE(an_endpoint_gets_no_more_than_the_rate_that_it_names)
{
    startGateways(3);
    const TimePoint namedAt = Clock::now();
    m_app[0]->nameRate("1.5");
    sendFor(Milliseconds(9000), m_gateways);
    waitForAnswers();
    const auto most = static_cast<double>(mostInWindow(*m_app[0], namedAt));
    BOOST_TEST(most <= allowed(1.5));
    BOOST_TEST(most >= 3); // Of the 6 that it takes in the window.
    BOOST_TEST(served() == m_calls.size());
}

BOOST_AUTO_TEST_SUITE_END()
