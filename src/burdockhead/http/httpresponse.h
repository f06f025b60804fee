#pragma once

#include <burdockhead/http/httpheader.h>

#include <string>
#include <vector>

namespace burdockhead {

// A whole response. Content-Length is set by the server.
struct HttpResponse
{
    int m_status = 200;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
};

} // namespace burdockhead
