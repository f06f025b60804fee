#include <burdockhead/net/clientbudget.h>

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace burdockhead;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t maxBytes = 1024 * kilobyte;
const TimePoint start = TimePoint() + Seconds(1000);

class Connection : public BudgetedConnection
{
public:
    explicit Connection(ClientBudget &budget)
        : m_budget(budget)
    {}

    void giveUpRequest() override
    {
        m_hasGivenUpRequest = true;
        m_budget.hold(*this, 0, start);
    }

    void giveUpConnection() override
    {
        m_isClosed = true;
        m_budget.remove(*this);
    }

    bool m_hasGivenUpRequest = false;
    bool m_isClosed = false;

private:
    ClientBudget &m_budget;
};

struct Fixture
{
    Connection &connect(TimePoint now = start)
    {
        m_connections.emplace_back(m_budget);
        BOOST_REQUIRE(m_budget.add(m_connections.back(), now));
        return m_connections.back();
    }

    // Connects a client that is sending a request of that many bytes.
    Connection &receive(std::size_t bytes, TimePoint now = start)
    {
        Connection &connection = connect(now);
        m_budget.setStage(connection, ConnectionStage::Receiving, now);
        BOOST_REQUIRE(m_budget.hold(connection, bytes, now));
        return connection;
    }

    ClientBudget m_budget{{maxBytes, 512 * kilobyte, 4}};
    std::deque<Connection> m_connections;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Budget, Fixture)

BOOST_AUTO_TEST_CASE(the_largest_request_that_has_stalled_makes_room)
{
    Connection &small = receive(200 * kilobyte);
    Connection &large = receive(500 * kilobyte);
    Connection &newcomer = connect(start + Seconds(1));
    BOOST_TEST(m_budget.hold(newcomer, 400 * kilobyte, start + Seconds(1)));
    BOOST_TEST(large.m_hasGivenUpRequest);
    BOOST_TEST(!small.m_hasGivenUpRequest);
}

BOOST_AUTO_TEST_CASE(a_request_that_makes_headway_goes_before_a_large_newcomer)
{
    Connection &moving = receive(700 * kilobyte);
    const TimePoint now = start + Seconds(1);
    BOOST_TEST(m_budget.hold(moving, 750 * kilobyte, now));
    Connection &newcomer = connect(now);
    BOOST_TEST(!m_budget.hold(newcomer, 400 * kilobyte, now));
    BOOST_TEST(!moving.m_hasGivenUpRequest);
}

BOOST_AUTO_TEST_CASE(an_ordinary_request_finds_room_beside_large_ones)
{
    Connection &moving = receive(880 * kilobyte);
    Connection &newcomer = connect();
    BOOST_TEST(m_budget.hold(newcomer, 60 * kilobyte, start));
    BOOST_TEST(!moving.m_hasGivenUpRequest);
    Connection &next = connect();
    BOOST_TEST(m_budget.hold(next, 60 * kilobyte, start));
    BOOST_TEST(!moving.m_hasGivenUpRequest);
    // The part that is kept free is used up by then: a much larger one goes.
    BOOST_TEST(m_budget.hold(next, 64 * kilobyte, start));
    BOOST_TEST(moving.m_hasGivenUpRequest);
}

// Guards against an ordinary request that is refused since no room was found for a large one.
BOOST_AUTO_TEST_CASE(an_ordinary_request_finds_room_right_after_a_large_one_found_none)
{
    Connection &moving = receive(880 * kilobyte);
    Connection &small = receive(64 * kilobyte);
    BOOST_REQUIRE(m_budget.hold(small, 62 * kilobyte, start));
    BOOST_TEST(!m_budget.hold(connect(), 400 * kilobyte, start));
    BOOST_TEST(m_budget.hold(connect(), 64 * kilobyte, start));
    BOOST_TEST(moving.m_hasGivenUpRequest);
}

BOOST_AUTO_TEST_CASE(what_a_request_in_work_holds_is_free_again_after_its_release)
{
    Connection &connection = receive(800 * kilobyte);
    const std::size_t before = m_budget.requestBytes();
    m_budget.handOver(connection, 800 * kilobyte);
    m_budget.setStage(connection, ConnectionStage::InWork, start);
    m_budget.remove(connection);
    BOOST_TEST(m_budget.requestBytes() == 800 * kilobyte);
    BOOST_TEST(before > m_budget.requestBytes());
    Connection &newcomer = connect();
    BOOST_TEST(!m_budget.hold(newcomer, 400 * kilobyte, start + Seconds(1)));
    m_budget.release(800 * kilobyte);
    BOOST_TEST(m_budget.hold(newcomer, 400 * kilobyte, start + Seconds(2)));
}

BOOST_AUTO_TEST_CASE(the_connection_that_has_been_silent_for_longest_makes_room_for_another)
{
    Connection &working = receive(kilobyte);
    m_budget.setStage(working, ConnectionStage::InWork, start);
    Connection &idle = connect();
    m_budget.setStage(idle, ConnectionStage::Idle, start);
    Connection &silent = connect(start + Seconds(1));
    connect(start + Seconds(2));
    connect(start + Seconds(3));
    BOOST_TEST(silent.m_isClosed);
    BOOST_TEST(!idle.m_isClosed);
    // A first request may still be on its way on those that were made lately.
    connect(start + Seconds(3));
    BOOST_TEST(m_connections[3].m_isClosed);
    connect(start + Seconds(3));
    BOOST_TEST(idle.m_isClosed);
    BOOST_TEST(!working.m_isClosed);
}

BOOST_AUTO_TEST_CASE(a_connection_is_not_taken_if_all_others_are_in_work)
{
    for (int count = 0; count < 4; ++count)
        m_budget.setStage(connect(), ConnectionStage::InWork, start);
    Connection late(m_budget);
    BOOST_TEST(!m_budget.add(late, start + Seconds(9)));
    BOOST_TEST(m_budget.givenUpCount() == 1U);
}

BOOST_AUTO_TEST_CASE(one_request_of_the_size_that_a_listener_takes_always_finds_room)
{
    Connection &alone = connect();
    BOOST_TEST(!m_budget.hold(alone, 2 * maxBytes, start));
    m_budget.admitRequestsOf(2 * maxBytes);
    BOOST_TEST(m_budget.hold(alone, 2 * maxBytes, start));
}

BOOST_AUTO_TEST_CASE(unread_responses_are_bounded_over_all_connections)
{
    Connection &first = connect();
    Connection &second = connect();
    BOOST_TEST(m_budget.setQueued(first, 300 * kilobyte));
    BOOST_TEST(!m_budget.setQueued(second, 300 * kilobyte));
    BOOST_TEST(m_budget.setQueued(first, 0));
    BOOST_TEST(m_budget.responseBytes() == 300 * kilobyte);
}

BOOST_AUTO_TEST_SUITE_END()
