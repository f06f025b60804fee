#pragma once

#include <string>

namespace burdockhead {

// A base URL: "http://HOST:PORT" with an optional path and no trailing slash.
struct WebUrl
{
    std::string m_text;

    friend bool operator==(const WebUrl &, const WebUrl &) = default;
};

} // namespace burdockhead
