#pragma once

#include <burdockhead/configuration/configuration.h>
#include <burdockhead/settings/inidocument.h>

namespace burdockhead {

// Checks what can't be seen from one key alone: names that refer to nothing, kinds without
// capacity, ranks and limits that don't fit. The document tells the lines.
void checkConfiguration(const Configuration &configuration, const IniDocument &document,
                        const std::string &fileName, Diagnostics &diagnostics);

} // namespace burdockhead
