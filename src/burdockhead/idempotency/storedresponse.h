#pragma once

#include <string>

namespace burdockhead {

// An endpoint's response, stored to be replayed.
struct StoredResponse
{
    int m_status = 200;
    std::string m_contentType;
    std::string m_body;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

} // namespace burdockhead
