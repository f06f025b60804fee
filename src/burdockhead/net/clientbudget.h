#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <limits>
#include <memory>
#include <vector>

namespace burdockhead {

// What all clients together may make a process hold.
struct ClientBudgetLimits
{
    // Of requests that arrive or are in work, and of what is kept for each connection.
    std::size_t m_maxRequestBytes = std::numeric_limits<std::size_t>::max();
    // Of responses that clients don't read.
    std::size_t m_maxResponseBytes = 33554432;
    std::size_t m_maxConnections = std::numeric_limits<std::size_t>::max();

    friend bool operator==(const ClientBudgetLimits &, const ClientBudgetLimits &) = default;
};

// What a client's connection is doing.
enum class ConnectionStage {
    Silent,    // Has sent nothing yet.
    Idle,      // Waits for a further request.
    Receiving, // A request is arriving.
    InWork,    // A request is being processed.
    Closing,   // Everything is sent; waits for the client to close.
};

// A client's connection as its budget sees it.
class BudgetedConnection
{
public:
    // Refuses the request that is arriving, and frees what the connection holds. Neither this nor
    // the other function is called from within a call of the connection to its budget.
    virtual void giveUpRequest() = 0;

    // Closes the connection.
    virtual void giveUpConnection() = 0;

protected:
    BudgetedConnection() = default;
    ~BudgetedConnection() = default;

private:
    friend class ClientBudget;

    ConnectionStage m_stage = ConnectionStage::Silent;
    TimePoint m_stageBeganAt;
    std::size_t m_heldBytes = 0;
    std::size_t m_heldAtHeadway = 0; // Held bytes as of the last headway.
    TimePoint m_headwayAt;
    std::size_t m_queuedBytes = 0;
    std::size_t m_index = 0; // In the budget's list.
};

// Bounds the memory and the descriptors that clients make a process hold, on all its ports
// together. If room is short, connections are given up that make no headway, those that hold the
// most first; requests of ordinary size find room at the cost of larger ones. For one thread.
class ClientBudget
{
public:
    explicit ClientBudget(const ClientBudgetLimits &limits)
        : m_limits(limits)
    {}
    ClientBudget(const ClientBudget &) = delete;
    ClientBudget &operator=(const ClientBudget &) = delete;

    // Has room for one request of that many bytes, also if the limits have less.
    void admitRequestsOf(std::size_t bytes);

    // Adds a connection that was just made, at the cost of another one if need be; false if there
    // is no room for it.
    bool add(BudgetedConnection &connection, TimePoint now);

    // Removes a connection, with what it holds.
    void remove(BudgetedConnection &connection);

    void setStage(BudgetedConnection &connection, ConnectionStage stage, TimePoint now);

    // Sets the bytes of requests that the connection holds, at the cost of other connections if
    // need be. False, and nothing has changed, if there is no room.
    bool hold(BudgetedConnection &connection, std::size_t bytes, TimePoint now);

    // Hands so many of the held bytes over to a request in work, which release() returns.
    void handOver(BudgetedConnection &connection, std::size_t bytes);
    void release(std::size_t bytes) { m_requestBytes -= bytes; }

    // Sets the bytes that wait for the client to read them; false if those of all clients are too
    // many.
    bool setQueued(BudgetedConnection &connection, std::size_t bytes);

    std::size_t requestBytes() const { return m_requestBytes; }
    std::size_t responseBytes() const { return m_responseBytes; }
    std::size_t connectionCount() const { return m_connections.size(); }

    // Returns the connections that were given up, or not taken, since the start.
    std::size_t givenUpCount() const { return m_givenUpCount; }

private:
    static bool isStalled(const BudgetedConnection &connection, TimePoint now);
    void makeRoomForConnection(TimePoint now);
    void makeRoom(const BudgetedConnection &newcomer, std::size_t bytes, std::size_t maxBytes,
                  TimePoint now);
    std::size_t maxRequestBytes(std::size_t bytes) const;
    void countGivenUp(TimePoint now);
    ClientBudgetLimits m_limits;
    std::vector<BudgetedConnection *> m_connections;
    std::size_t m_requestBytes = 0;
    std::size_t m_responseBytes = 0;
    std::size_t m_givenUpCount = 0;
    std::size_t m_loggedCount = 0; // Of those given up.
    TimePoint m_nextLogAt;
    TimePoint m_nextSearchAt; // For a large newcomer: the last search found nobody to give up.
};

using ClientBudgetPointer = std::shared_ptr<ClientBudget>;

} // namespace burdockhead
