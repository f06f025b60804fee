#pragma once

#include <burdockhead/quarantine/promptpart.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace burdockhead {

// The prompt parts of the requests that have arrived last, from which follows how common a part is.
class RecentPrompts
{
public:
    void record(const GroupName &service, const PromptParts &parts);

    // Returns the part's fraction of the recent requests of its service; none if there were few.
    std::optional<double> shareOf(const PromptPart &part) const;

private:
    struct Prompt
    {
        GroupName m_service;
        PromptParts m_parts;
    };

    std::deque<Prompt> m_prompts;
};

} // namespace burdockhead
