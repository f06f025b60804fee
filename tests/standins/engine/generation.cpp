#include "generation.h"

#include <xxhash.h>

namespace burdockhead {

namespace {

constexpr std::size_t prefixBytes = 256;
constexpr std::uint64_t maxTokens = 1'000'000;

std::string promptOf(const Json &messages)
{
    std::string prompt;
    for (const Json &message : messages) {
        if (message.is_object() && message.contains("content") && message["content"].is_string())
            prompt += message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

std::uint64_t numberOf(const Json &body, const char *key, std::uint64_t fallback)
{
    const auto item = body.find(key);
    return item != body.end() && item->is_number_unsigned() ? item->get<std::uint64_t>() : fallback;
}

} // namespace

std::optional<CompletionRequest> CompletionRequest::read(const HttpRequest &request)
{
    const auto body = readJson(request);
    if (!body || !body->contains("messages") || !(*body)["messages"].is_array())
        return std::nullopt;
    CompletionRequest completion;
    completion.m_prompt = promptOf((*body)["messages"]);
    completion.m_maxTokens =
        std::min(numberOf(*body, "max_tokens", completion.m_maxTokens), maxTokens);
    completion.m_resumeFrom = std::min(numberOf(*body, "resume_from", 0), completion.m_maxTokens);
    completion.m_stream = body->contains("stream") && (*body)["stream"] == true;
    return completion;
}

std::string tokenAt(const std::string &prompt, std::uint64_t index)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), index);
    return "w" + std::to_string(hash % 1000) + " ";
}

std::uint64_t prefixHashOf(const std::string &prompt)
{
    return XXH3_64bits(prompt.data(), std::min(prompt.size(), prefixBytes));
}

bool Generation::advance(std::uint64_t bootId)
{
    if (!m_request.m_stream) {
        ++m_next;
        return true;
    }
    if (!m_begun)
        begin(bootId);
    const Json chunk = {
        {"index", m_next},
        {"choices",
         Json::array(
             {{{"index", 0}, {"delta", {{"content", tokenAt(m_request.m_prompt, m_next)}}}}})}};
    ++m_next;
    return m_responder->write("data: " + chunk.dump() + "\n\n");
}

void Generation::begin(std::uint64_t bootId)
{
    m_begun = true;
    m_responder->begin(
        200, {{"Content-Type", "text/event-stream"}, {"X-Boot-Id", std::to_string(bootId)}});
}

void Generation::finish(std::uint64_t bootId)
{
    if (m_request.m_stream) {
        if (!m_begun)
            begin(bootId);
        m_responder->write("data: [DONE]\n\n");
        m_responder->finish();
        return;
    }
    std::string text;
    for (std::uint64_t index = m_request.m_resumeFrom; index < m_request.m_maxTokens; ++index)
        text += tokenAt(m_request.m_prompt, index);
    const Json message = {{"role", "assistant"}, {"content", text}};
    sendJson(*m_responder, 200, bootId,
             {{"choices", Json::array({{{"index", 0}, {"message", message}}})}});
}

void Generation::breakOff()
{
    if (m_begun)
        m_responder->finish();
    else
        sendGarbage(*m_responder);
}

} // namespace burdockhead
