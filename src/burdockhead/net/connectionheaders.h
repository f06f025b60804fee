#pragma once

#include <burdockhead/net/httphead.h>

#include <string_view>
#include <vector>

namespace burdockhead {

// Tells the headers of a message that concern one connection only, and are never passed on, from
// the others. Takes time that grows hardly faster than the size of the head, which a client
// chooses.
class ConnectionHeaders
{
public:
    // Refers to the headers, which must outlive the object.
    explicit ConnectionHeaders(const HttpHeaders &headers);

    // Whether the header with that name is one of them; case doesn't count.
    bool contains(std::string_view name) const;

private:
    std::vector<std::string_view> m_named; // By Connection headers, sorted.
};

} // namespace burdockhead
