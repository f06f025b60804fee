#pragma once

#include <string>

namespace burdockhead {

// A minimal valid configuration.
inline const std::string smallConfiguration = "; reviewed by two\n"
                                              "[data_centre a]\nstate = in ; main\n"
                                              "[data_centre b]\n"
                                              "[kind digest]\nrepeatable = yes\n"
                                              "[workspace w]\nshare = 2\n"
                                              "[model_group m]\nmodel = small\nkinds = digest\n"
                                              "[endpoint m0]\ngroup = m\ndata_centre = a\n";

// Returns the text with the first occurrence of a part replaced.
inline std::string replaceFirst(std::string text, const std::string &part,
                                const std::string &replacement)
{
    return text.replace(text.find(part), part.size(), replacement);
}

} // namespace burdockhead
