#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// The platform object that holds the configuration.
constexpr const char *configurationObjectKind = "configuration";
constexpr const char *configurationObjectName = "current";

// The configuration as the platform holds it: the text, and the nonces of the latest changes
// in a comment line before it, by which a change whose answer was lost is found again.
struct ConfigurationValue
{
    std::vector<std::string> m_nonces; // The newest last.
    std::string m_text;

    // Reads a stored value; one without the comment line has no nonces.
    static ConfigurationValue parse(std::string_view value);

    // The value as it is stored.
    std::string toString() const;

    // True when the change of that nonce is in this value or one that it was made from.
    bool contains(std::string_view nonce) const;

    // The value that a change makes from this one.
    ConfigurationValue changed(const std::string &nonce, const std::string &text) const;

    friend bool operator==(const ConfigurationValue &, const ConfigurationValue &) = default;
};

// True for a nonce that can be stored: 1 to 64 letters, digits or hyphens.
bool isValidNonce(std::string_view nonce);

} // namespace burdockhead
