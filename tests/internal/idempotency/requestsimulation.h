#pragma once

#include "fakeplatform.h"
#include <burdockhead/idempotency/claimshardwriter.h>
#include <burdockhead/idempotency/requestledger.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockhead {

// The mechanism that a simulation runs without.
enum class DisabledProtection {
    Nothing,
    Binding,   // An entry sends a key to any agent.
    Tombstone, // An agent refuses an attempt without recording it in its ledger.
    ReadBack,  // A write without a reply is resent without reading the object back.
};

// Simulates callers, entries, agents, endpoints and a platform in virtual time, and checks the
// invariants: a key runs at most once, an attempt reported as not run never runs, and all responses
// to a key are equal. Each step is one event, chosen by two numbers.
class RequestSimulation
{
public:
    explicit RequestSimulation(DisabledProtection disabled);

    // Simulates one event; `event` chooses its type, `choice` its details.
    void step(std::uint32_t event, std::uint32_t choice);

    // Returns false once an invariant has been violated.
    bool holds() const { return m_hasHeld; }

    // Clears all faults, delivers all messages and retries each key through each entry. Returns
    // true if each request then has a final reply.
    bool recovers();

    // Returns the number of keys whose requests have run.
    std::size_t runs() const { return m_runs.size(); }

private:
    // One incarnation of an agent; a paused one may resume after its successor has started.
    struct Process
    {
        std::size_t m_endpoint = 0;
        Incarnation m_incarnation;
        RequestLedger m_ledger;
        bool m_isDead = false;
        bool m_isPaused = false;
        // By the key of the running request.
        std::map<std::string, std::vector<AttemptId>> m_waitingAttempts;
    };

    struct Entry
    {
        std::uint64_t m_issuer = 0;
        std::uint64_t m_sequence = 0;
        std::optional<ClaimShardWriter> m_writer;
    };

    enum class MessageType {
        Dispatch,
        Abandon,
        Reply,
    };

    enum class Outcome {
        Response,
        NotRun,
        Unknown,
    };

    struct Message
    {
        MessageType m_type = MessageType::Dispatch;
        std::string m_key;
        LedgerRequest m_request;
        Incarnation m_to;
        Outcome m_outcome = Outcome::Unknown;
        std::string m_response;
    };

    void call(const std::string &key, Entry &entry, std::uint32_t choice);
    std::optional<Incarnation> bindingOf(const std::string &key, Entry &entry,
                                         std::uint32_t choice);
    void deliver(std::uint32_t choice, bool isDuplicate);
    void receive(Process &process, const Message &message);
    void dispatch(Process &process, const Message &message);
    void run(Process &process, const Message &message);
    void finish(std::uint32_t choice);
    void abandon(std::uint32_t choice);
    void replaceAgent(std::uint32_t choice);
    void resume(std::uint32_t choice);
    void reply(const Message &to, Outcome outcome, const std::string &response = {});
    void onReply(const Message &reply);
    void startEntry(Entry &entry);
    Process &newestProcessOf(std::size_t endpoint);
    Process *find(Incarnation incarnation);

    DisabledProtection m_disabled;
    FakePlatform m_platform;
    BlindResend m_blindResend;
    std::deque<PlatformFault> m_nextFaults;
    std::deque<Process> m_processes;
    std::vector<Entry> m_entries;
    std::vector<Message> m_network;
    std::vector<Message> m_sent; // Dispatches that an entry may abandon.
    std::map<std::string, Ticket> m_tickets;
    TimePoint m_now;
    bool m_isRefusing = false;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastIssuer = 0;
    std::uint64_t m_lastTicket = 0;

    std::map<std::string, int> m_runs;
    std::set<AttemptId> m_attemptsRun;
    std::set<AttemptId> m_reportedNotRun;
    std::map<std::string, std::string> m_responses;
    std::set<std::string> m_finalKeys; // Keys with a reply other than not run.
    bool m_hasHeld = true;
};

} // namespace burdockhead
