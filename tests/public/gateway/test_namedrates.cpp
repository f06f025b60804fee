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
    void sendFor(Milliseconds span, const std::vector<SocketAddress> &gateways,
                 const std::string &path = "/safe/x")
    {
        for (const TimePoint end = Clock::now() + span; Clock::now() < end;) {
            const std::size_t gateway = m_calls.size() % gateways.size();
            m_sentAt.push_back(Clock::now());
            m_calls.push_back(callAt(gateways[gateway], "GET", path));
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

// Streams, refusals and retries count like other requests.
BOOST_AUTO_TEST_CASE(an_endpoint_that_refuses_requests_gets_no_more_than_the_rate_that_it_names)
{
    startGateways(2);
    waitFor(Milliseconds(4000)); // Until both gateways have their parts of the burst of retries.
    const TimePoint namedAt = Clock::now();
    m_llm[0]->nameRate("1");
    m_llm[0]->misbehave(Misbehaviour::Refuse);
    sendFor(Milliseconds(8000), m_gateways, "/stream/x");
    waitForAnswers();
    BOOST_TEST(static_cast<double>(mostInWindow(*m_llm[0], namedAt)) <= allowed(1));
    BOOST_TEST(served() == m_calls.size());
}

BOOST_AUTO_TEST_CASE(a_rate_is_used_where_all_requests_come_to_one_gateway)
{
    startGateways(3);
    sendFor(Milliseconds(2500), {m_clients});
    const TimePoint namedAt = Clock::now();
    m_app[0]->nameRate("2");
    sendFor(Milliseconds(7500), {m_clients});
    waitForAnswers();
    const auto most = static_cast<double>(mostInWindow(*m_app[0], namedAt));
    BOOST_TEST(most <= allowed(2));
    BOOST_TEST(most >= 6); // Of the 8 that it takes in the window.
}

BOOST_AUTO_TEST_CASE(what_endpoints_do_not_take_is_refused_at_once)
{
    startGateways(2);
    m_app[0]->nameRate("3");
    m_app[1]->nameRate("3");
    sendFor(Milliseconds(7000), m_gateways);
    waitForAnswers();
    std::size_t refused = 0;
    std::size_t refusedLate = 0;
    for (std::size_t index = 0; index < m_calls.size(); ++index) {
        if (m_calls[index]->status() != 503)
            continue;
        ++refused;
        refusedLate += m_elapsed[index] > promptly ? 1 : 0;
        BOOST_TEST(!m_calls[index]->header("Retry-After").empty());
    }
    BOOST_TEST(served() + refused == m_calls.size());
    // Of those that wait for a place in the time that they have, a few don't get it.
    BOOST_TEST(20 * refusedLate <= refused);
    BOOST_TEST(served() >= 20U); // Of the 42 that they take.
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_names_no_rate_any_more_is_used_like_the_others)
{
    startGateways(2);
    m_app[0]->nameRate("2");
    sendFor(Milliseconds(4000), m_gateways);
    m_app[0]->nameRate("");
    sendFor(Milliseconds(4000), m_gateways);
    waitForAnswers();
    const std::size_t all =
        arrivalsBetween(*m_app[0], Clock::now() - Milliseconds(1500), Clock::now())
        + arrivalsBetween(*m_app[1], Clock::now() - Milliseconds(1500), Clock::now());
    const std::size_t first =
        arrivalsBetween(*m_app[0], Clock::now() - Milliseconds(1500), Clock::now());
    BOOST_TEST(4 * first > all);
    BOOST_TEST(served() == m_calls.size());
}

// It knows nothing of the rate, and neither what its predecessor has sent.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_hears_of_the_rate_from_the_others)
{
    startGateways(2);
    const TimePoint namedAt = Clock::now();
    m_app[0]->nameRate("1");
    sendFor(Milliseconds(3000), m_gateways);
    m_further.push_back(startFurtherGateway("g3"));
    sendFor(Milliseconds(5000), {m_clients, m_further.back().m_clients});
    waitForAnswers();
    BOOST_TEST(static_cast<double>(mostInWindow(*m_app[0], namedAt)) <= allowed(1));
    BOOST_TEST(served() == m_calls.size());
}

BOOST_AUTO_TEST_CASE(a_rate_that_is_no_number_changes_nothing)
{
    startGateways(1);
    for (const std::string &rate :
         {std::string("-1"), std::string("nan"), std::string("inf"), std::string("1e400"),
          std::string("0x1"), std::string("many"), std::string(10240, '9')}) {
        m_app[0]->nameRate(rate);
        m_app[1]->nameRate(rate);
        for (int count = 0; count < 10; ++count)
            BOOST_TEST(request("GET", "/safe/x")->status() == 200, rate.substr(0, 8));
    }
    BOOST_TEST(m_gateway->running());
}

BOOST_AUTO_TEST_SUITE_END()
