#pragma once

#include <string>
#include <string_view>

namespace burdockhead {

// Returns the target of a request in one of the ways in which it may be written: without escapes of
// characters that need none, with other escapes in upper case, and with the query's parameters
// sorted. For comparisons only: endpoints get the target as it was sent.
std::string canonicalTarget(std::string_view target);

} // namespace burdockhead
