#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/membership/membershipcounters.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace burdockhead {

// Handles a control message and returns the reply, or none if the type is unknown.
using ControlDispatcher =
    std::function<std::optional<std::string>(std::uint64_t type, const std::string &payload)>;

// Receives the reply to a message, or none when the call failed.
using ControlCompletion = std::function<void(std::optional<std::string> reply)>;

// Sends and receives control messages over nng's request/reply sockets. Each message is sent at
// most once, without retransmission. Thread-safe; handlers run on nng's threads.
class ControlTransport
{
public:
    explicit ControlTransport(ControlDispatcher dispatcher);
    // Calls close().
    ~ControlTransport();
    ControlTransport(const ControlTransport &) = delete;
    ControlTransport &operator=(const ControlTransport &) = delete;

    // Opens the port and starts handling incoming messages. With that many connections, each
    // further one takes the place of one on which no message has come; else it is refused.
    bool listen(const SocketAddress &address, std::size_t maxConnections, Failure &failure);

    // Sends a message. The completion is called exactly once, also when the transport is
    // closed.
    void send(const SocketAddress &peer, std::uint64_t type, const std::string &payload,
              TimePoint deadline, ControlCompletion completion);

    // Closes idle connections on which a call has failed. Must not be called from a handler.
    void closeFailedConnections();

    // Aborts all calls and closes all connections. Must not be called from a handler.
    void close();

    // Returns the counts of messages, bytes and failed calls since the transport was created.
    MembershipCounters counters() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
