#pragma once

#include <burdockhead/net/httphead.h>

#include <string>
#include <string_view>

namespace burdockhead {

// The text of a request or response up to and with the blank line. Headers are written as
// they are given.
std::string requestHead(std::string_view method, std::string_view target,
                        const HttpHeaders &headers);
std::string responseHead(int status, const HttpHeaders &headers);

// One chunk of a body in the chunked coding; the last one is empty.
std::string chunk(std::string_view bytes);

// Whether two header names are the same; case doesn't count.
bool isSameHeaderName(std::string_view left, std::string_view right);

// Seconds that the peer keeps an idle connection, from its Keep-Alive header; none without.
std::optional<unsigned> keepAliveSeconds(const HttpHeaders &headers);

} // namespace burdockhead
