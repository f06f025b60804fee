#pragma once

#include <burdockhead/http/httpheader.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

using HttpHeaders = std::vector<HttpHeader>;

// What a message on the wire says before its body. A request has a method and a target, a
// response a status.
struct HttpHead
{
    std::string m_method;
    std::string m_target; // Path and query, as sent.
    int m_status = 0;
    HttpHeaders m_headers;
    bool m_keepsConnection = true;                // The peer will read another message.
    bool m_endsWithConnection = false;            // A response without a length.
    std::optional<std::uint64_t> m_contentLength; // Bytes, where the message tells them.

    friend bool operator==(const HttpHead &, const HttpHead &) = default;
};

} // namespace burdockhead
