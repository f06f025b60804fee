#pragma once

#include <string>

namespace burdockhead {

// The start of an http URL: "http://HOST:PORT" with or without a path, no trailing slash.
struct WebUrl
{
    std::string m_text;

    friend bool operator==(const WebUrl &, const WebUrl &) = default;
};

} // namespace burdockhead
