#pragma once

#include <burdockhead/configuration/configuration.h>
#include <burdockhead/settings/inidocument.h>

namespace burdockhead {

// Checks constraints across keys and sections: undefined names, kinds without capacity, and
// inconsistent ranks and limits. The document supplies the line numbers of diagnostics.
void checkConfiguration(const Configuration &configuration, const IniDocument &document,
                        const std::string &fileName, Diagnostics &diagnostics);

} // namespace burdockhead
