#pragma once

#include "deployment.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace burdockhead {

// How the requests of a load ended.
struct LoadTally
{
    std::uint64_t m_whole = 0;  // The whole answer came, and it was the right one.
    std::uint64_t m_wrong = 0;  // An answer that looked whole and was not the right one.
    std::uint64_t m_broken = 0; // No whole answer, and no error that says so.
    std::map<std::string, std::uint64_t> m_errors; // By error kind.
};

// Callers that send chat requests one after the other until stopped, each through the
// entries in turn, and compare every answer with what the engine must have said.
class CallerLoad
{
public:
    CallerLoad(Deployment &deployment, std::vector<std::string> entries, unsigned callers,
               unsigned tokens);
    ~CallerLoad();

    // Lets the open requests end and gives the tally.
    LoadTally stop();

    // Whole answers so far.
    std::uint64_t whole();

private:
    void run(unsigned caller);
    void count(const std::optional<HttpResponse> &response);

    Deployment &m_deployment;
    const std::vector<std::string> m_entries;
    const unsigned m_tokens;
    std::vector<std::string> m_expected;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    LoadTally m_tally;
};

} // namespace burdockhead
