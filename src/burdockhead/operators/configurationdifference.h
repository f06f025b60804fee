#pragma once

#include <string>

namespace burdockhead {

// Lists the sections and keys in which two INI texts differ, one per line: "+ [workspace a]",
// "- [workspace b]" or "[kind x] weight: 1 -> 2". Ignores comments and order. Empty when
// the texts are equivalent.
std::string configurationDifference(const std::string &before, const std::string &after);

} // namespace burdockhead
