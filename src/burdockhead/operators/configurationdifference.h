#pragma once

#include <string>

namespace burdockhead {

// The sections and keys in which two INI texts differ, one a line: "+ [workspace a]",
// "- [workspace b]" or "[kind x] weight: 1 -> 2". Comments and order don't count. Empty
// when nothing differs.
std::string configurationDifference(const std::string &before, const std::string &after);

} // namespace burdockhead
