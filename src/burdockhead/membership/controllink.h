#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/membership/membershipcounters.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace burdockhead {

// Answers a control message; none for a type that is not known.
using ControlAnswerer =
    std::function<std::optional<std::string>(std::uint64_t type, const std::string &payload)>;

// Reports the answer to a message, or none when it failed.
using ControlCompletion = std::function<void(std::optional<std::string> answer)>;

// Sends control messages to other processes and answers theirs, over nng. Each message is
// sent once. Safe to use from any thread; handlers run on nng's threads.
class ControlLink
{
public:
    explicit ControlLink(ControlAnswerer answerer);
    // Closes the link.
    ~ControlLink();
    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;

    // Opens the port and starts answering.
    bool listen(const SocketAddress &address, Failure &failure);

    // Sends a message. The completion is called exactly once, also when the link is closed.
    void send(const SocketAddress &peer, std::uint64_t type, const std::string &payload,
              TimePoint deadline, ControlCompletion completion);

    // Closes connections to peers that did not answer lately. Not to be called from a handler.
    void dropBroken();

    // Ends all calls and closes all connections. Not to be called from a handler.
    void close();

    // What has been sent and received so far.
    MembershipCounters counters() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
