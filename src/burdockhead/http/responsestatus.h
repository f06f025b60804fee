#pragma once

#include <cstddef>
#include <string_view>

namespace burdockhead {

constexpr unsigned firstFinalStatus = 200;

// Bytes of a status line up to the one behind the status: "HTTP/1.1 200 ".
constexpr std::size_t statusLineBytes = 13;

// Returns whether a response to a client that offers no other protocol may have this status line,
// of which the first bytes suffice: three digits from 100 to 599 and not 101 (RFC 9110, 15). HTTP
// libraries take any number.
bool hasValidStatus(std::string_view statusLine);

// Returns whether a body may follow a head with this status.
bool mayHaveBody(unsigned status);

// Returns whether a head with this status must not even announce a body (RFC 9110, 8.6). Unlike
// these, 304 tells the length that the body would have.
bool mustAnnounceNoBody(unsigned status);

} // namespace burdockhead
