#pragma once

#include <burdockhead/http/httpheader.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// A whole request as a server received it.
struct HttpRequest
{
    std::string m_method; // In upper case.
    std::string m_path;   // Without the query.
    std::string m_query;  // What follows the question mark, undecoded.
    std::vector<HttpHeader> m_headers;
    std::string m_body;

    // The first header of that name, compared without case; none if it is missing.
    std::optional<std::string> header(std::string_view name) const;

    // The decoded value of a query parameter; none if it is missing.
    std::optional<std::string> queryValue(std::string_view name) const;
};

// The first header of that name, compared without case; none if it is missing.
std::optional<std::string> findHeader(const std::vector<HttpHeader> &headers,
                                      std::string_view name);

} // namespace burdockhead
