#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace burdockhead {

// Parses a text of JSON. Copying, comparing and writing a value take a stack frame for each level
// of nesting, so that one text could end the process; arrays and objects below a depth that no
// message needs are left out. Throws nlohmann::json::exception on a text that is no JSON.
nlohmann::json parseBoundedJson(std::string_view text);

// The same, but returns a discarded value instead of throwing.
nlohmann::json parseBoundedJsonOrDiscard(std::string_view text);

} // namespace burdockhead
