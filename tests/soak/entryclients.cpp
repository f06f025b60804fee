#include "entryclients.h"

#include <set>

namespace burdockhead::test {

namespace {

using Json = nlohmann::json;

constexpr const char *prompt = "digest of the loans of branch 7";
constexpr unsigned tokens = 20;
constexpr int attempts = 3;
constexpr Milliseconds pause{20};
constexpr const char *notRun = "not_run";

// Returns the run state of a refusal, or of the error event that ends a stream.
std::string runState(const std::string &body)
{
    const auto start = body.find("{\"error\"");
    if (start == std::string::npos)
        return "";
    const auto json =
        Json::parse(body.substr(start, body.find('\n', start) - start), nullptr, false);
    return json.is_object() ? json["error"].value("run_state", "") : "";
}

} // namespace

EntryClients::EntryClients(Deployment &deployment, std::uint64_t seed, std::size_t clients)
    : m_deployment(deployment)
    , m_entries(deployment.names("entry-"))
    , m_expected([&] {
        const auto first = deployment.chat(m_entries.front(), prompt, tokens);
        return first ? streamedTokens(first->m_body) : std::vector<std::string>();
    }())
{
    for (std::size_t client = 0; client < clients; ++client)
        m_threads.emplace_back([this, seed, client] { run(seed + client, client); });
}

EntryClients::~EntryClients()
{
    stop();
}

void EntryClients::stop()
{
    m_isStopping = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

// Every other client sends requests with keys.
void EntryClients::run(std::uint64_t seed, std::size_t client)
{
    Random random(seed);
    const auto entry = [&] { return m_entries[random() % m_entries.size()]; };
    for (std::size_t number = 0; !m_isStopping; ++number) {
        if (client % 2 == 0) {
            add(chat(entry()));
        } else {
            const std::string key = "c" + std::to_string(client) + "-" + std::to_string(number);
            bool isServed = false;
            for (int attempt = 0; attempt < attempts && !isServed; ++attempt) {
                const Outcome outcome = signOff(entry(), key);
                isServed = outcome.m_isServed;
                add(outcome);
            }
        }
        std::this_thread::sleep_for(pause);
    }
}

EntryClients::Outcome EntryClients::chat(const std::string &entry)
{
    Outcome outcome;
    outcome.m_sentAt = Clock::now();
    const auto response = m_deployment.chat(entry, prompt, tokens);
    const auto answer = response ? streamedTokens(response->m_body) : std::vector<std::string>();
    outcome.m_isServed = !answer.empty() && answer == m_expected;
    outcome.m_isWrong = !answer.empty() && answer != m_expected;
    return outcome;
}

EntryClients::Outcome EntryClients::signOff(const std::string &entry, const std::string &key)
{
    Outcome outcome;
    outcome.m_key = key;
    outcome.m_sentAt = Clock::now();
    const auto response = m_deployment.signOff(entry, key, "approve " + key);
    if (!response)
        return outcome;
    outcome.m_runState = runState(response->m_body);
    if (response->m_status != 200)
        return outcome;
    const Json answer = Json::parse(response->m_body, nullptr, false);
    outcome.m_isServed = answer.is_object() && answer.value("key", "") == key;
    outcome.m_isWrong = !outcome.m_isServed;
    return outcome;
}

void EntryClients::add(const Outcome &outcome)
{
    const std::lock_guard lock(m_mutex);
    m_outcomes.push_back(outcome);
}

std::vector<std::string>
EntryClients::violations(const std::map<std::string, std::uint64_t> &runs) const
{
    std::vector<std::string> found;
    std::set<std::string> mayHaveRun;
    for (const Outcome &outcome : m_outcomes) {
        if (outcome.m_isWrong)
            found.push_back("answer of another request: " + outcome.m_key);
        if (outcome.m_runState != notRun)
            mayHaveRun.insert(outcome.m_key);
        if (outcome.m_isServed && !outcome.m_key.empty() && !runs.contains(outcome.m_key))
            found.push_back("served without having run: " + outcome.m_key);
    }
    for (const auto &[key, count] : runs) {
        if (count > 1)
            found.push_back("ran " + std::to_string(count) + " times: " + key);
        if (!mayHaveRun.contains(key))
            found.push_back("refused as not run, and ran: " + key);
    }
    return found;
}

double EntryClients::servedSince(TimePoint since) const
{
    double sent = 0;
    double served = 0;
    for (const Outcome &outcome : m_outcomes) {
        sent += outcome.m_sentAt >= since ? 1 : 0;
        served += outcome.m_sentAt >= since && outcome.m_isServed ? 1 : 0;
    }
    return sent > 0 ? served / sent : 0;
}

} // namespace burdockhead::test
