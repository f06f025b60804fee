#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/quarantine/promptpart.h>

#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// What two requests have in common if a client has repeated one, at any gateway and at any time.
struct RequestIdentity
{
    WorkspaceName m_workspace; // Of the caller, whichever of its credentials it uses.
    std::string_view m_method;
    std::string_view m_host;
    std::string_view m_target; // Path and query.
    std::string_view m_prompt; // As the head describes it, for endpoints that take it from there.
    std::string_view m_body;
};

// Returns a part that stands for the request as a whole, whatever service runs it. The workspace is
// hashed apart from the rest, so that no workspace can imitate another one's requests.
PromptPart requestFingerprint(const RequestIdentity &identity);

// Returns a part that stands for all requests with the same workspace, path, query and body,
// however their path is written and whatever their heads say otherwise: what comes again when a
// client repeats a request. None if the prompt in the head is all that tells the request from
// others.
std::optional<PromptPart> contentFingerprint(const RequestIdentity &identity);

// Returns both, the request's own first.
PromptParts requestFingerprints(const RequestIdentity &identity);

// Returns the part with that identifier, which one of these functions has given.
PromptPart requestPart(const std::string &id);

// Returns whether the identifier is one of a request, or of its content; none of a prompt part is.
bool isRequestFingerprint(std::string_view id);
bool isContentFingerprint(std::string_view id);

} // namespace burdockhead
