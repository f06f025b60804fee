#pragma once

#include "deployment.h"
#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace burdockhead::test {

// Clients of entries, each on a thread of its own: chats, whose answers are compared with what the
// engine must have said, and requests with keys of their own that may not run twice, which clients
// repeat at other entries until they know how each ended.
class EntryClients
{
public:
    EntryClients(Deployment &deployment, std::uint64_t seed, std::size_t clients);
    ~EntryClients();
    EntryClients(const EntryClients &) = delete;
    EntryClients &operator=(const EntryClients &) = delete;

    // Lets the open requests end.
    void stop();

    // After stop(): the promises that were broken, one line each, given how often each key ran.
    std::vector<std::string> violations(const std::map<std::string, std::uint64_t> &runs) const;

    // The part of the requests sent since then that were served.
    double servedSince(TimePoint since) const;

    std::size_t requests() const { return m_outcomes.size(); }

private:
    struct Outcome
    {
        std::string m_key; // None of a chat.
        TimePoint m_sentAt;
        bool m_isServed = false;
        bool m_isWrong = false; // An answer that looks whole and is another one's.
        std::string m_runState; // As an error tells it.
    };

    void run(std::uint64_t seed, std::size_t client);
    Outcome chat(const std::string &entry);
    Outcome signOff(const std::string &entry, const std::string &key);
    void add(const Outcome &outcome);

    Deployment &m_deployment;
    const std::vector<std::string> m_entries;
    const std::vector<std::string> m_expected; // Tokens of the chat's answer.
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
};

} // namespace burdockhead::test
