#include <burdockhead/http/canonicaltarget.h>
#include <burdockhead/quarantine/requestfingerprint.h>

#include <fmt/format.h>

#include <initializer_list>
#include <memory>
#include <xxhash.h>

namespace burdockhead {

namespace {

// The service of all fingerprints; no service has this name.
constexpr const char *anyService = "*";

// How the identifier of a request's content begins, which none of a whole request does.
constexpr std::string_view contentIdPrefix = "=-";

struct StateDeleter
{
    void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
};

// The length keeps two fields from being read as other two.
void addField(XXH3_state_t &state, std::string_view field)
{
    const std::uint64_t size = field.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, field.data(), field.size());
}

// Returns the part of a workspace's request with these fields.
PromptPart fingerprintOf(std::string_view prefix, const WorkspaceName &workspace,
                         std::initializer_list<std::string_view> fields)
{
    const std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (const std::string_view field : fields)
        addField(*state, field);
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    const auto workspaceHash = XXH3_64bits(workspace.text().data(), workspace.text().size());
    return requestPart(
        fmt::format("{}{:016x}{:016x}{:016x}", prefix, workspaceHash, hash.high64, hash.low64));
}

} // namespace

PromptPart requestFingerprint(const RequestIdentity &identity)
{
    return fingerprintOf(std::string_view(&requestIdPrefix, 1), identity.m_workspace,
                         {identity.m_method, identity.m_host, identity.m_target, identity.m_prompt,
                          identity.m_body});
}

std::optional<PromptPart> contentFingerprint(const RequestIdentity &identity)
{
    if (identity.m_body.empty() && !identity.m_prompt.empty())
        return std::nullopt;
    return fingerprintOf(contentIdPrefix, identity.m_workspace,
                         {canonicalTarget(identity.m_target), identity.m_body});
}

PromptParts requestFingerprints(const RequestIdentity &identity)
{
    PromptParts fingerprints = {requestFingerprint(identity)};
    if (const auto content = contentFingerprint(identity))
        fingerprints.push_back(*content);
    return fingerprints;
}

PromptPart requestPart(const std::string &id)
{
    return {GroupName(anyService), id};
}

bool isRequestFingerprint(std::string_view id)
{
    return id.starts_with(requestIdPrefix);
}

bool isContentFingerprint(std::string_view id)
{
    return id.starts_with(contentIdPrefix);
}

} // namespace burdockhead
