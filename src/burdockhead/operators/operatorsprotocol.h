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

// The paths of the operators' port, and the header that carries a configuration's version.
constexpr const char *configurationPath = "/configuration";
constexpr const char *membersPath = "/members";
constexpr const char *timelinePath = "/timeline";
constexpr const char *configurationVersionHeader = "X-Configuration-Version";

// An entry's answer to a change of the configuration.
struct ChangeAnswer
{
    std::uint64_t m_version = 0;      // The new version if applied, the one in force on a conflict.
    std::string m_text;               // The text in force on a conflict; may be empty.
    std::optional<Failure> m_failure; // None: applied.
};

// Reads an entry's answer to a change of the configuration.
ChangeAnswer readChangeAnswer(const HttpResponse &response);

// Reads the error that an entry answers with; none on any other text.
std::optional<Failure> errorFromBody(std::string_view body);

// Reads an entry's list of processes. Those without a known address for operators have
// port 0. None on any other text.
std::optional<std::vector<MemberAddress>> membersFromBody(std::string_view body);

} // namespace burdockhead
