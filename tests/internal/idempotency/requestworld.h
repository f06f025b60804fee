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

// Which mechanism the world goes without.
enum class Without {
    Nothing,
    Binding,   // An entry sends a key to whichever agent it likes.
    Tombstone, // An agent refuses without a word in its ledger.
    ReadBack,  // A write without an answer is sent again blindly.
};

// A small world of callers, entries, agents, endpoints and a platform in virtual time, and
// the oracle over it: a key runs at most once, an attempt answered as not run never runs,
// and a key's answers are all the same. Each step is one event, chosen by two numbers.
class RequestWorld
{
public:
    explicit RequestWorld(Without without);

    // One event; `event` chooses which, `choice` its details.
    void step(std::uint32_t event, std::uint32_t choice);

    // False once the oracle has seen a broken promise.
    bool holds() const { return m_holds; }

    // Ends all faults, delivers everything and lets the caller retry each key through each
    // entry: true when each request then has a final answer.
    bool recovers();

    // Requests that have run, over all keys.
    std::size_t runs() const { return m_runs.size(); }

private:
    // One run of an agent's process; a paused one may wake after its successor has started.
    struct Process
    {
        std::size_t m_endpoint = 0;
        Incarnation m_incarnation;
        RequestLedger m_ledger;
        bool m_dead = false;
        bool m_paused = false;
        std::map<std::string, std::vector<AttemptId>> m_waiting; // By running key.
    };

    struct Entry
    {
        std::uint64_t m_issuer = 0;
        std::uint64_t m_sequence = 0;
        std::optional<ClaimShardWriter> m_writer;
    };

    enum class MessageType {
        Dispatch,
        GiveUp,
        Reply,
    };

    enum class Outcome {
        Answer,
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
        std::string m_answer;
    };

    void call(const std::string &key, Entry &entry, std::uint32_t choice);
    std::optional<Incarnation> bindingOf(const std::string &key, Entry &entry,
                                         std::uint32_t choice);
    void deliver(std::uint32_t choice, bool keepCopy);
    void receive(Process &process, const Message &message);
    void dispatch(Process &process, const Message &message);
    void run(Process &process, const Message &message);
    void finish(std::uint32_t choice);
    void giveUp(std::uint32_t choice);
    void replaceAgent(std::uint32_t choice);
    void wake(std::uint32_t choice);
    void reply(const Message &to, Outcome outcome, const std::string &answer = {});
    void observe(const Message &reply);
    void startEntry(Entry &entry);
    Process &newestOf(std::size_t endpoint);
    Process *find(Incarnation incarnation);

    Without m_without;
    FakePlatform m_platform;
    BlindResend m_blind;
    std::deque<PlatformFault> m_faults;
    std::deque<Process> m_processes;
    std::vector<Entry> m_entries;
    std::vector<Message> m_network;
    std::vector<Message> m_sent; // Dispatches that an entry may give up.
    std::map<std::string, Ticket> m_tickets;
    TimePoint m_now;
    bool m_refusing = false;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastIssuer = 0;
    std::uint64_t m_lastTicket = 0;

    std::map<std::string, int> m_runs;
    std::set<AttemptId> m_ran;
    std::set<AttemptId> m_saidNotRun;
    std::map<std::string, std::string> m_answers;
    std::set<std::string> m_final; // Keys with an answer or a last word.
    bool m_holds = true;
};

} // namespace burdockhead
