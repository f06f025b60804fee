#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/configuration/configurationstore.h>
#include <burdockhead/configuration/currency.h>
#include <burdockhead/membership/exchange.h>
#include <burdockhead/membership/nodeoptions.h>
#include <burdockhead/membership/outgoingmessage.h>
#include <burdockhead/platform/objectapi.h>

#include <map>
#include <set>

namespace burdockhead {

// All decisions of one process on membership and configuration: whom to ask, what to answer,
// which configuration is in force and whether the process is current. Messages to send are
// taken from it after each call. Not thread safe.
class MembershipNode
{
public:
    explicit MembershipNode(NodeOptions options);

    // Starts the rounds that are due.
    void tick(TimePoint now, Random &random);

    // Answers a control message of this node's types; empty for one that is malformed.
    std::string answer(ControlType type, const std::string &payload, TimePoint now);

    // A message sent was answered, or failed.
    void onAnswer(const OutgoingMessage &message, const std::string &payload, TimePoint now);
    void onFailure(const OutgoingMessage &message, TimePoint now);

    // The platform answered a read, or a watch for versions above `after`. Without an object
    // it has nothing newer than `after`.
    void onPlatform(const ReadAnswer &answer, std::uint64_t after, TimePoint askedAt,
                    TimePoint now);

    // VMs of the platform's list or of the settings, any of which may be out of date.
    void onVms(const std::vector<Vm> &vms);

    // True when this process should watch the platform: it is one of the few watchers of its
    // data centre, or it has been left without evidence.
    bool watchesPlatform(TimePoint now) const;

    // True when this process knows no peer and needs the platform's list of VMs.
    bool needsVms() const;

    // Changes this process's own record and starts a round at once to tell of it.
    void setLeaving(bool leaving);

    // The configuration in force; null until the process is ready.
    ConfigurationPointer inForce() const;
    // The version held, which is not in force before the process is ready.
    std::uint64_t heldVersion() const { return m_store.version(); }
    bool isReady() const { return m_ready; }
    bool isCurrent(TimePoint now) const { return m_ready && m_currency.isCurrent(now); }
    TimePoint currentUntil() const;

    // True when, in a quorum of data centres, every entry that is up holds that version, so
    // that a change that made it is accepted.
    bool quorumHolds(std::uint64_t version) const;
    // True when a quorum of data centres has given word lately.
    bool quorumReachable(TimePoint now) const;
    // Asks every entry that is not known to hold that version, to spread it at once.
    void spread(std::uint64_t version, TimePoint now);

    const MembershipTable &table() const { return m_table; }
    MembershipTable &table() { return m_table; }

    // Takes the messages to send.
    std::vector<OutgoingMessage> takeOutgoing();

private:
    struct KnownVersion
    {
        Incarnation m_incarnation;
        std::uint64_t m_version = 0;
    };

    const std::vector<MemberRecord> &entriesIn(const DataCentreName &dataCentre);
    void refreshEntries();
    bool isWatcher() const;
    bool isOwnEntry(const MemberRecord &record) const;
    void entryRound(TimePoint now, Random &random);
    void askOtherDataCentres(TimePoint now);
    void askNextIn(const DataCentreName &dataCentre, TimePoint now);
    void agentRound(TimePoint now, Random &random);
    void contactStrangers(TimePoint now, Random &random);
    void checkAgents(TimePoint now);
    bool isHomeOf(const MemberRecord &agent);
    void exchangeWith(const MemberRecord &peer, TimePoint now);
    void exchangeAt(const ProcessName &peer, const SocketAddress &address, TimePoint now);
    void send(const ProcessName &peer, const SocketAddress &address, ControlType type,
              std::string payload, TimePoint now);
    std::string answerExchange(ExchangeRequest request, TimePoint now);
    std::string answerSync(const SyncMessage &message, TimePoint now);
    void onExchangeAnswer(const OutgoingMessage &message, const ExchangeResponse &response,
                          TimePoint now);
    void compareTables(const OutgoingMessage &message, const ExchangeResponse &response,
                       TimePoint now);
    bool completeSender(ExchangeRequest &request) const;
    void mergeSender(const MemberRecord &sender, TimePoint now);
    void noteVersion(const MemberRecord &peer, std::uint64_t version, TimePoint now);
    void takeTransfer(const ConfigurationTransfer &transfer, TimePoint now);
    void hold(std::uint64_t version, const std::string &text, TimePoint now);
    std::optional<ConfigurationTransfer> transferFor(std::uint64_t peerVersion) const;
    void refresh(TimePoint now);
    void hearOwnDataCentre(TimePoint now);
    bool mayVouch(TimePoint now) const;
    bool isAloneInDataCentre();
    void announceHeld(TimePoint now);
    void ended(const OutgoingMessage &message, TimePoint now);
    std::vector<MemberRecord> rumoursFor(const ProcessName &peer, VmRole role);
    ExchangeRequest makeRequest(const ProcessName &peer);
    void addEntriesFor(const ExchangeRequest &request, ExchangeResponse &response);
    bool holdsIn(const DataCentreName &dataCentre, std::uint64_t version) const;
    bool quorumHoldsOf(const std::vector<DataCentreName> &dataCentres, std::uint64_t version) const;

    NodeOptions m_options;
    MembershipTable m_table;
    ConfigurationStore m_store;
    Currency m_currency;
    bool m_ready = false;
    bool m_vouches = false; // May speak for its data centre.
    bool m_wasCurrent = false;
    TimePoint m_evidenceFloor; // Start of this run, or of the last time of not being current.
    TimePoint m_lapsedAt;      // When it was last seen not to be current.
    std::vector<DataCentreName> m_dataCentres;
    std::vector<DataCentreName> m_previousDataCentres;
    std::map<ProcessName, KnownVersion> m_knownVersions;
    std::vector<Vm> m_seeds;
    std::map<ProcessName, std::uint64_t> m_introduced; // Revision of this record they have.
    std::set<ProcessName> m_inFlight;
    std::set<ProcessName> m_askAgain; // Once the exchange under way with them has ended.
    std::vector<OutgoingMessage> m_outgoing;
    std::map<DataCentreName, std::vector<MemberRecord>> m_entries; // Not dead, by generation.
    std::uint64_t m_entriesGeneration = 0;
    std::map<ProcessName, bool> m_homeOf;
    std::map<ProcessName, TimePoint> m_silentAt;
    std::vector<ProcessName> m_watchers;
    std::map<DataCentreName, std::size_t> m_turns; // Round robin within a data centre.
    std::size_t m_round = 0;
    std::size_t m_mismatches = 0;
    TimePoint m_nextRound;
    TimePoint m_nextAgentCheck;
};

} // namespace burdockhead
