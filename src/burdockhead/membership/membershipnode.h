#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/configuration/configurationfreshness.h>
#include <burdockhead/configuration/configurationstore.h>
#include <burdockhead/membership/exchange.h>
#include <burdockhead/membership/membershipnodeoptions.h>
#include <burdockhead/membership/outgoingmessage.h>
#include <burdockhead/platform/objectapi.h>

#include <map>
#include <set>

namespace burdockhead {

// State machine for the membership and configuration of one process. Chooses the peers to
// contact, builds replies and determines which configuration is in force and whether the
// process is current: certain that every change accepted before the freshness window is in force
// here. The evidence for this is reads of the platform, claims passed on by peers, and versions
// reported by data centres. The caller sends the messages of takeOutgoing() after each call. Not
// thread-safe.
class MembershipNode
{
public:
    explicit MembershipNode(MembershipNodeOptions options);

    // Handles expired timeouts and starts the exchanges that are due.
    void tick(TimePoint now, Random &random);

    // Handles a membership message and returns the reply, which is empty if the message is
    // malformed.
    std::string handleMessage(ControlMessageType type, const std::string &payload, TimePoint now);

    // Handle the reply to a sent message, or its failure.
    void onReply(const OutgoingMessage &message, const std::string &payload, TimePoint now);
    void onFailure(const OutgoingMessage &message, TimePoint now);

    // Handles the result of a platform read, or of a watch for versions above `after`. A result
    // without an object means that there is no newer version than `after`.
    void onPlatformRead(const ReadAnswer &result, std::uint64_t after, TimePoint requestedAt,
                        TimePoint now);

    // Adds VMs from the platform's list or the settings as seeds; they may be out of date.
    void onVmList(const std::vector<Vm> &vms);

    // Returns true if this process should watch the platform: it is one of the elected watchers
    // of its data centre, or it is not current.
    bool shouldWatchPlatform(TimePoint now) const;

    // Returns true if no other entry is known, so that the platform's list of VMs is needed.
    bool needsVmList() const;

    // Updates the local record and makes the next round due at once to announce the change.
    void setLeaving(bool leaving);

    // Returns the configuration in force, or null until the process is ready.
    ConfigurationPointer configurationInForce() const;
    // Returns the version held; it is not in force before the process is ready.
    std::uint64_t heldVersion() const { return m_store.version(); }
    bool isReady() const { return m_isReady; }
    bool isCurrent(TimePoint now) const { return m_isReady && m_freshness.isCurrent(now); }
    TimePoint currentUntil() const;

    // Returns true if every live entry in a quorum of data centres holds the version, so that
    // the change that created it counts as accepted.
    bool quorumHolds(std::uint64_t version) const;
    // Returns true if a quorum of data centres has reported within the freshness window.
    bool canReachQuorum(TimePoint now) const;
    // Starts an exchange with every entry not known to hold the version, to distribute it at
    // once.
    void distributeVersion(std::uint64_t version, TimePoint now);

    const MembershipTable &table() const { return m_table; }
    MembershipTable &table() { return m_table; }

    // Returns and clears the messages to send.
    std::vector<OutgoingMessage> takeOutgoing();

private:
    struct KnownVersion
    {
        Incarnation m_incarnation;
        std::uint64_t m_version = 0;
    };

    const std::vector<MemberRecord> &entriesIn(const DataCentreName &dataCentre);
    void rebuildEntryCache();
    bool isWatcher() const;
    bool isEntryInLocalDataCentre(const MemberRecord &record) const;
    void runEntryRound(TimePoint now, Random &random);
    void contactOtherDataCentres(TimePoint now);
    void contactNextEntry(const DataCentreName &dataCentre, TimePoint now);
    void runAgentRound(TimePoint now, Random &random);
    // Contacts a random entry that is not a live member: a seed or a dead entry.
    void contactSeedOrDeadEntry(TimePoint now, Random &random);
    void suspectUnresponsiveAgents(TimePoint now);
    bool isMonitorOf(const MemberRecord &agent);
    void exchangeWith(const MemberRecord &peer, TimePoint now);
    void exchangeAt(const ProcessName &peer, const SocketAddress &address, TimePoint now);
    void send(const ProcessName &peer, const SocketAddress &address, ControlMessageType type,
              std::string payload, TimePoint now);
    std::string handleExchange(ExchangeRequest request, TimePoint now);
    std::string handleSync(const SyncMessage &message, TimePoint now);
    void onExchangeReply(const OutgoingMessage &message, const ExchangeReply &reply, TimePoint now);
    void compareTables(const OutgoingMessage &message, const ExchangeReply &reply, TimePoint now);
    bool resolveBriefSender(ExchangeRequest &request) const;
    void mergeSender(const MemberRecord &sender, TimePoint now);
    void recordPeerVersion(const MemberRecord &peer, std::uint64_t version, TimePoint now);
    void applyTransfer(const ConfigurationTransfer &transfer, TimePoint now);
    void storeConfiguration(std::uint64_t version, const std::string &text, TimePoint now);
    std::optional<ConfigurationTransfer> transferFor(std::uint64_t peerVersion) const;
    void updateState(TimePoint now);
    void reportLocalDataCentre(TimePoint now);
    bool canBecomeAuthoritative(TimePoint now) const;
    bool isOnlyEntryInDataCentre();
    // Sends a new version to the agents monitored here and, if this is a watcher, to the entries of
    // the local data centre.
    void distributeToEntriesAndAgents(TimePoint now);
    void onExchangeEnded(const OutgoingMessage &message, TimePoint now);
    std::vector<MemberRecord> gossipFor(const ProcessName &peer, VmRole role);
    ExchangeRequest makeExchangeRequest(const ProcessName &peer);
    void addEntriesIfChanged(const ExchangeRequest &request, ExchangeReply &reply);
    bool allEntriesHold(const DataCentreName &dataCentre, std::uint64_t version) const;
    bool quorumHoldsAmong(const std::vector<DataCentreName> &dataCentres,
                          std::uint64_t version) const;

    MembershipNodeOptions m_options;
    MembershipTable m_table;
    ConfigurationStore m_store;
    ConfigurationFreshness m_freshness;
    bool m_isReady = false;
    // Its replies count as evidence for its data centre: it knows a claim not older than
    // m_evidenceValidFrom, and another entry of its data centre, if there is one, has replied.
    bool m_isAuthoritative = false;
    bool m_wasCurrent = false;
    // Start of this process, or of its last period of not being current. Earlier evidence may
    // derive from its own earlier reports.
    TimePoint m_evidenceValidFrom;
    TimePoint m_lastNotCurrentAt; // Last time at which the process was not current.
    std::vector<DataCentreName> m_dataCentres;
    std::vector<DataCentreName> m_previousDataCentres;
    std::map<ProcessName, KnownVersion> m_knownVersions;
    std::vector<Vm> m_seeds;
    std::map<ProcessName, std::uint64_t> m_acknowledgedRevisions; // Local revision known to peers.
    std::set<ProcessName> m_pendingExchanges;
    std::set<ProcessName> m_repeatExchanges; // Peers to contact again after the current exchange.
    std::vector<OutgoingMessage> m_outgoing;
    std::map<DataCentreName, std::vector<MemberRecord>> m_entries; // Cache of those not dead.
    std::uint64_t m_entriesGeneration = 0;
    std::map<ProcessName, bool> m_isMonitorOf;
    std::map<ProcessName, TimePoint> m_heartbeatDeadlines;
    std::vector<ProcessName> m_watchers;
    std::map<DataCentreName, std::size_t> m_nextEntryIndex; // Round-robin position in each.
    std::size_t m_roundNumber = 0;
    std::size_t m_mismatches = 0; // Replies with another table since the last synchronization.
    TimePoint m_nextRoundAt;
    TimePoint m_nextAgentCheckAt;
};

} // namespace burdockhead
