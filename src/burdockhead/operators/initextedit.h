#pragma once

#include <optional>
#include <string>

namespace burdockhead {

// Returns the text with a key of a section set to a value. Comments and all other lines are
// preserved. Returns none when there is no such section.
std::optional<std::string> setIniValue(const std::string &text, const std::string &heading,
                                       const std::string &key, const std::string &value);

} // namespace burdockhead
