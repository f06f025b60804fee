#pragma once

#include <optional>
#include <string>

namespace burdockhead {

// The whole file; none when it can't be read.
std::optional<std::string> readTextFile(const std::string &fileName);

} // namespace burdockhead
