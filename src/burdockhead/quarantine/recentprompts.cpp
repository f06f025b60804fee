#include <burdockhead/quarantine/recentprompts.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::size_t maxPrompts = 512;
// With fewer requests than this a share says nothing.
constexpr std::size_t minPrompts = 20;
// A caller may send thousands of parts in one request; the first ones are those that others share.
constexpr std::size_t maxPartsPerPrompt = 16;

} // namespace

void RecentPrompts::record(const GroupName &service, const PromptParts &parts)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(parts.size(), maxPartsPerPrompt));
    m_prompts.push_back({service, PromptParts(parts.begin(), parts.begin() + count)});
    if (m_prompts.size() > maxPrompts)
        m_prompts.pop_front();
}

std::optional<double> RecentPrompts::shareOf(const PromptPart &part) const
{
    std::size_t total = 0;
    std::size_t matches = 0;
    for (const Prompt &prompt : m_prompts) {
        if (prompt.m_service != part.m_service)
            continue;
        ++total;
        if (std::find(prompt.m_parts.begin(), prompt.m_parts.end(), part) != prompt.m_parts.end())
            ++matches;
    }
    if (total < minPrompts)
        return std::nullopt;
    return static_cast<double>(matches) / static_cast<double>(total);
}

} // namespace burdockhead
