#include <burdockhead/net/clientbudget.h>
#include <burdockhead/observe/log.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Memory of a connection and its parser without any request.
constexpr std::size_t connectionBytes = 8192;
// A request that arrives makes headway if it grows by this much in that time.
constexpr std::size_t headwayBytes = 16384;
constexpr Milliseconds headwayTime{250};
// Up to this size, requests find room at the cost of larger ones, of which the divisor's fraction
// of the memory is kept free.
constexpr std::size_t ordinaryBytes = 65536;
constexpr std::size_t ordinaryShareDivisor = 8;
constexpr std::size_t largerFactor = 8;
// Room is made for several newcomers at a time, as each search looks at all connections.
constexpr std::size_t extraRoomDivisor = 32;
constexpr Milliseconds searchInterval{10};
constexpr Milliseconds logInterval{1000};
// A client's first request may be on its way for this long.
constexpr Milliseconds firstRequestTime{1000};

// Returns the order in which connections are given up for want of descriptors; none for those that
// aren't.
int descriptorRank(ConnectionStage stage, Duration age)
{
    constexpr int never = 5;
    switch (stage) {
    case ConnectionStage::Closing:
        return 0;
    case ConnectionStage::Silent:
        return age >= firstRequestTime ? 1 : 3;
    case ConnectionStage::Idle:
        return 2;
    case ConnectionStage::Receiving:
        return age >= firstRequestTime ? 4 : never;
    case ConnectionStage::InWork:
        break;
    }
    return never;
}

} // namespace

void ClientBudget::admitRequestsOf(std::size_t bytes)
{
    // The factor leaves room for the part that is kept free, and for connections.
    m_limits.m_maxRequestBytes = std::max(m_limits.m_maxRequestBytes, 2 * bytes);
}

bool ClientBudget::add(BudgetedConnection &connection, TimePoint now)
{
    if (m_connections.size() >= m_limits.m_maxConnections)
        makeRoomForConnection(now);
    if (m_connections.size() >= m_limits.m_maxConnections) {
        countGivenUp(now);
        return false;
    }
    connection.m_stageBeganAt = now;
    connection.m_headwayAt = now;
    connection.m_index = m_connections.size();
    m_connections.push_back(&connection);
    m_requestBytes += connectionBytes;
    return true;
}

void ClientBudget::remove(BudgetedConnection &connection)
{
    m_requestBytes -= connectionBytes + connection.m_heldBytes;
    m_responseBytes -= connection.m_queuedBytes;
    connection.m_heldBytes = 0;
    connection.m_queuedBytes = 0;
    m_connections[connection.m_index] = m_connections.back();
    m_connections[connection.m_index]->m_index = connection.m_index;
    m_connections.pop_back();
}

void ClientBudget::setStage(BudgetedConnection &connection, ConnectionStage stage, TimePoint now)
{
    if (connection.m_stage == stage)
        return;
    connection.m_stage = stage;
    connection.m_stageBeganAt = now;
    connection.m_headwayAt = now;
    connection.m_heldAtHeadway = connection.m_heldBytes;
}

std::size_t ClientBudget::maxRequestBytes(std::size_t bytes) const
{
    const std::size_t max = m_limits.m_maxRequestBytes;
    return bytes <= ordinaryBytes ? max : max - max / ordinaryShareDivisor;
}

bool ClientBudget::hold(BudgetedConnection &connection, std::size_t bytes, TimePoint now)
{
    if (bytes > connection.m_heldBytes) {
        const std::size_t maxBytes = maxRequestBytes(bytes);
        const std::size_t further = bytes - connection.m_heldBytes;
        if (m_requestBytes + further > maxBytes)
            makeRoom(connection, bytes, maxBytes, now);
        if (m_requestBytes + further > maxBytes) {
            countGivenUp(now);
            return false;
        }
    }
    m_requestBytes = m_requestBytes - connection.m_heldBytes + bytes;
    connection.m_heldBytes = bytes;
    if (bytes < connection.m_heldAtHeadway || bytes - connection.m_heldAtHeadway >= headwayBytes) {
        connection.m_heldAtHeadway = bytes;
        connection.m_headwayAt = now;
    }
    return true;
}

void ClientBudget::handOver(BudgetedConnection &connection, std::size_t bytes)
{
    connection.m_heldBytes -= bytes;
    connection.m_heldAtHeadway = connection.m_heldBytes;
}

bool ClientBudget::setQueued(BudgetedConnection &connection, std::size_t bytes)
{
    m_responseBytes = m_responseBytes - connection.m_queuedBytes + bytes;
    connection.m_queuedBytes = bytes;
    return m_responseBytes <= m_limits.m_maxResponseBytes;
}

// A line for each would let clients fill the log.
void ClientBudget::countGivenUp(TimePoint now)
{
    ++m_givenUpCount;
    if (now < m_nextLogAt)
        return;
    logWarning("clients_given_up", {{"count", m_givenUpCount - m_loggedCount},
                                    {"connections", m_connections.size()},
                                    {"request_bytes", m_requestBytes}});
    m_loggedCount = m_givenUpCount;
    m_nextLogAt = now + logInterval;
}

bool ClientBudget::isStalled(const BudgetedConnection &connection, TimePoint now)
{
    return now - connection.m_headwayAt >= headwayTime;
}

// Gives up those that hold the most of the ones that have stalled, or that are much larger than an
// ordinary newcomer.
void ClientBudget::makeRoom(const BudgetedConnection &newcomer, std::size_t bytes,
                            std::size_t maxBytes, TimePoint now)
{
    const bool isOrdinary = bytes <= ordinaryBytes;
    if (!isOrdinary && now < m_nextSearchAt)
        return;
    const std::size_t minLarger =
        isOrdinary ? bytes * largerFactor : std::numeric_limits<std::size_t>::max();
    std::vector<BudgetedConnection *> victims;
    for (BudgetedConnection *connection : m_connections) {
        if (connection != &newcomer && connection->m_heldBytes > 0
            && (connection->m_heldBytes >= minLarger || isStalled(*connection, now)))
            victims.push_back(connection);
    }
    std::sort(victims.begin(), victims.end(), [](const auto *left, const auto *right) {
        return left->m_heldBytes > right->m_heldBytes;
    });
    const std::size_t further = bytes - newcomer.m_heldBytes + maxBytes / extraRoomDivisor;
    const std::size_t wanted = maxBytes - std::min(maxBytes, further);
    for (BudgetedConnection *connection : victims) {
        if (m_requestBytes <= wanted)
            return;
        countGivenUp(now);
        connection->giveUpRequest();
    }
    if (!isOrdinary && victims.empty())
        m_nextSearchAt = now + searchInterval;
}

void ClientBudget::makeRoomForConnection(TimePoint now)
{
    const auto rankOf = [now](const BudgetedConnection *connection) {
        return descriptorRank(connection->m_stage, now - connection->m_stageBeganAt);
    };
    const auto isBefore = [&](const auto *left, const auto *right) {
        const int leftRank = rankOf(left);
        const int rightRank = rankOf(right);
        return leftRank != rightRank ? leftRank < rightRank
                                     : left->m_stageBeganAt < right->m_stageBeganAt;
    };
    const auto first = std::min_element(m_connections.begin(), m_connections.end(), isBefore);
    if (first != m_connections.end()
        && rankOf(*first) < descriptorRank(ConnectionStage::InWork, Duration::zero())) {
        countGivenUp(now);
        (*first)->giveUpConnection();
    }
}

} // namespace burdockhead
