#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/configuration/applyresult.h>
#include <burdockhead/configuration/versionedconfiguration.h>
#include <burdockhead/membership/entryinfo.h>
#include <burdockhead/membership/memberrecord.h>
#include <burdockhead/membership/membershipcounters.h>
#include <burdockhead/membership/membershipoptions.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// Handles a control message and returns the reply, which may be empty. Called on a service
// thread.
using ControlHandler = std::function<std::string(const std::string &payload)>;

// Maintains the membership and configuration of a process, and whether it is current (certain to
// hold a recent configuration; see isCurrent()), by exchanging messages with peers over one control
// port. Also transports the control messages of other components. Thread-safe; callbacks run on
// service threads without a lock held.
class MembershipService
{
public:
    explicit MembershipService(MembershipOptions options);
    // Calls stop().
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    // Sets the callback for new and changed agent announcements. Call before start().
    void onAnnouncement(std::function<void(const ReplicaAnnouncement &)> callback);

    // Sets the callback for each configuration that comes into force. Call before start().
    void onConfiguration(std::function<void(ConfigurationPointer)> callback);

    // Registers the handler of a control message type. Types below 16 are reserved for the
    // service itself. Call before start().
    void registerHandler(std::uint64_t messageType, ControlHandler handler);

    // Opens the control port and starts the threads; returns false if the port cannot be
    // opened.
    bool start(Failure &failure);

    // Joins the threads and closes the port.
    void stop();

    // Announces to peers that this process is leaving; it still handles messages.
    void setLeaving();

    // Announces whether this agent's endpoint is leaving, while the process itself keeps
    // running.
    void announce(const ReplicaAnnouncement &announcement);

    // Returns the configuration in force, or null before the first.
    ConfigurationPointer configuration() const;

    // Returns true once a configuration is in force; no work may be accepted before.
    bool isReady() const;

    // Returns true while it is certain that every change accepted before the freshness window
    // is in force here. New work may be accepted only while this is true.
    bool isCurrent() const;

    // Returns the known entries that are not dead, including the local process if it is an
    // entry. Agents know only the entries of their data centre.
    std::vector<EntryInfo> entries() const;

    // Returns the known processes that are not dead; only entries know all of them.
    std::vector<MemberRecord> members() const;

    // Returns the known agents that are not dead. Only entries know agents.
    std::vector<ReplicaAnnouncement> announcements() const;

    // Sends a control message once and waits for the reply. Returns none if no reply arrives
    // before the deadline.
    std::optional<std::string> call(const SocketAddress &peer, std::uint64_t messageType,
                                    const std::string &payload, TimePoint deadline,
                                    Failure &failure);

    // Replaces the configuration if its version is still baseVersion (0: none exists yet) and
    // waits until a quorum of data centres holds the new one. Entries only; blocks until the
    // deadline at most. The nonce must be unique to this change.
    ApplyResult apply(std::uint64_t baseVersion, const std::string &text, const std::string &nonce,
                      TimePoint deadline);

    // Returns the control traffic and platform calls since the start.
    MembershipCounters counters() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
