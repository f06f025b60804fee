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

// Answers a control message; called on a service thread. An empty answer is allowed.
using ControlHandler = std::function<std::string(const std::string &payload)>;

// Keeps a process in touch with its peers: membership, the configuration and whether it is
// current, over one control port. Also carries control messages of other parts.
// Safe to use from any thread. Callbacks run on service threads with no lock held.
class MembershipService
{
public:
    explicit MembershipService(MembershipOptions options);
    // Stops the service.
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    // Called for every new or changed announcement of an agent. Set before start().
    void onAnnouncement(std::function<void(const ReplicaAnnouncement &)> callback);

    // Called for every configuration that comes into force. Set before start().
    void onConfiguration(std::function<void(ConfigurationPointer)> callback);

    // Answers control messages of that type. Types below 16 are the service's own. Set
    // before start().
    void registerHandler(std::uint64_t messageType, ControlHandler handler);

    // Opens the control port and starts the threads; false when the port is taken.
    bool start(Failure &failure);

    // Closes the port and joins the threads.
    void stop();

    // Tells the peers that this process is leaving; it goes on answering.
    void setLeaving();

    // Sets whether this agent's endpoint is leaving, without the process leaving.
    void announce(const ReplicaAnnouncement &announcement);

    // The configuration in force; null before the first.
    ConfigurationPointer configuration() const;

    // True once there is a configuration in force; before that no work may be taken.
    bool isReady() const;

    // True while it is certain that no change that was accepted some seconds ago is missing
    // here. New work may be taken only while this holds.
    bool isCurrent() const;

    // Every entry that is known and not dead, this process included if it is one. Complete
    // on entries; on agents only those of their own data centre.
    std::vector<EntryInfo> entries() const;

    // Every process that is known and not dead; only entries know them all.
    std::vector<MemberRecord> members() const;

    // Every agent that is known and not dead. Only entries know agents.
    std::vector<ReplicaAnnouncement> announcements() const;

    // Sends a control message and waits for the answer; sent once. None when no answer
    // arrives before the deadline.
    std::optional<std::string> call(const SocketAddress &peer, std::uint64_t messageType,
                                    const std::string &payload, TimePoint deadline,
                                    Failure &failure);

    // Replaces the configuration if its version is still baseVersion (0: there is none yet)
    // and waits until a quorum of data centres holds the new one. Entries only; blocks until
    // the deadline at most. The nonce is unique to this change.
    ApplyResult apply(std::uint64_t baseVersion, const std::string &text, const std::string &nonce,
                      TimePoint deadline);

    // What has been sent and received so far.
    MembershipCounters counters() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
