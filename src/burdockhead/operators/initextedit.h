#pragma once

#include <optional>
#include <string>

namespace burdockhead {

// The text with a key of a section set to a value; comments and all other lines stay as
// they are. None when there is no such section.
std::optional<std::string> withIniValue(const std::string &text, const std::string &heading,
                                        const std::string &key, const std::string &value);

} // namespace burdockhead
