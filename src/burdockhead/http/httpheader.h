#pragma once

#include <string>

namespace burdockhead {

// One header field; names compare without case.
struct HttpHeader
{
    std::string m_name;
    std::string m_value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

} // namespace burdockhead
