#include "callerload.h"

namespace burdockhead {

namespace {

constexpr const char *prompt = "digest of the loans of branch 7";

// The error kind of a refusal, or of the error event that ends a stream.
std::string errorKind(const std::string &body)
{
    const auto start = body.find("{\"error\"");
    if (start == std::string::npos)
        return "";
    const auto end = body.find('\n', start);
    const auto json = nlohmann::json::parse(body.substr(start, end - start), nullptr, false);
    return json.is_object() ? json["error"].value("kind", "") : "";
}

} // namespace

CallerLoad::CallerLoad(Deployment &deployment, std::vector<std::string> entries, unsigned callers,
                       unsigned tokens)
    : m_deployment(deployment)
    , m_entries(std::move(entries))
    , m_tokens(tokens)
{
    const auto first = m_deployment.chat(m_entries.front(), prompt, tokens);
    if (first)
        m_expected = streamedTokens(first->m_body);
    for (unsigned caller = 0; caller < callers; ++caller)
        m_threads.emplace_back([this, caller] { run(caller); });
}

CallerLoad::~CallerLoad()
{
    stop();
}

LoadTally CallerLoad::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_tally;
}

std::uint64_t CallerLoad::whole()
{
    const std::lock_guard lock(m_mutex);
    return m_tally.m_whole;
}

void CallerLoad::run(unsigned caller)
{
    for (std::size_t turn = caller; !m_stopping; ++turn)
        count(m_deployment.chat(m_entries[turn % m_entries.size()], prompt, m_tokens));
}

void CallerLoad::count(const std::optional<HttpResponse> &response)
{
    const std::vector<std::string> tokens =
        response ? streamedTokens(response->m_body) : std::vector<std::string>();
    const std::string error = response ? errorKind(response->m_body) : "";
    const std::lock_guard lock(m_mutex);
    if (!tokens.empty() && tokens == m_expected)
        ++m_tally.m_whole;
    else if (!tokens.empty())
        ++m_tally.m_wrong;
    else if (!error.empty())
        ++m_tally.m_errors[error];
    else
        ++m_tally.m_broken;
}

} // namespace burdockhead
