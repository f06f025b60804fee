#pragma once

#include <optional>
#include <string>

namespace burdockhead {

// Returns the content of a file; none when it cannot be read.
std::optional<std::string> readTextFile(const std::string &fileName);

} // namespace burdockhead
