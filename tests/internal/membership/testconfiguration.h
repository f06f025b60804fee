#pragma once

#include <burdockhead/configuration/configurationparser.h>

#include <sstream>

namespace burdockhead {

// Parses a text such as "a b !c": names of data centres, with ! if taken out. Words with a
// colon are ignored; a text without data centres is invalid.
inline std::optional<Configuration> parseTestConfiguration(const std::string &text,
                                                           Failure &failure)
{
    Configuration configuration;
    std::istringstream stream(text);
    std::string word;
    while (stream >> word) {
        if (word.find(':') != std::string::npos)
            continue;
        const bool takenOut = word.starts_with('!');
        configuration.m_dataCentres.push_back(
            {DataCentreName(takenOut ? word.substr(1) : word), takenOut});
    }
    if (configuration.m_dataCentres.empty()) {
        failure = {ErrorKind::ConfigurationInvalid, "no data centre"};
        return std::nullopt;
    }
    return configuration;
}

} // namespace burdockhead
