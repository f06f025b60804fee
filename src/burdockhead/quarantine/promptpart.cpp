#include <burdockhead/quarantine/promptpart.h>

#include <fmt/format.h>

#include <algorithm>
#include <xxhash.h>

namespace burdockhead {

namespace {

// Identifiers come from callers and are kept, logged and sent to other gateways.
constexpr std::size_t maxIdBytes = 48;

std::string boundedId(const std::string &id)
{
    if (id.size() <= maxIdBytes && !id.starts_with(requestIdPrefix))
        return id;
    const XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
    return fmt::format("~{:016x}{:016x}", hash.high64, hash.low64);
}

} // namespace

PromptParts makePromptParts(const GroupName &service, const std::vector<std::string> &ids)
{
    PromptParts parts;
    for (const std::string &id : ids) {
        if (parts.size() == maxPromptParts)
            break;
        PromptPart part{service, boundedId(id)};
        if (std::find(parts.begin(), parts.end(), part) == parts.end())
            parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace burdockhead
