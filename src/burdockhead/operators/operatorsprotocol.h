#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/http/httpresponse.h>
#include <burdockhead/operators/memberaddress.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Paths served at the operator address, and the response header that holds the version of a
// configuration.
constexpr const char *configurationPath = "/configuration";
constexpr const char *membersPath = "/members";
constexpr const char *timelinePath = "/timeline";
constexpr const char *configurationVersionHeader = "X-Configuration-Version";

// An entry's response to a change of the configuration.
struct ChangeResponse
{
    std::uint64_t m_version = 0; // The new version if applied; on a conflict, the one in force.
    std::string m_text;          // The text in force on a conflict; may be empty.
    std::optional<Failure> m_failure; // None if the change was applied.
};

// Parses an entry's response to a change. A response without an error body is classified by its
// status.
ChangeResponse parseChangeResponse(const HttpResponse &response);

// Parses the error in the body of an entry's response. Returns none for any other text.
std::optional<Failure> parseErrorBody(std::string_view body);

// Parses an entry's list of processes. A process without a known operator address has port 0.
// Returns none for any other text.
std::optional<std::vector<MemberAddress>> parseMembers(std::string_view body);

} // namespace burdockhead
