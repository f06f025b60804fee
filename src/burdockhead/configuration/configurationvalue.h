#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Kind and name of the platform object that stores the configuration.
constexpr const char *configurationObjectKind = "configuration";
constexpr const char *configurationObjectName = "current";

// Value of the configuration's platform object: the text, preceded by a comment line with the
// nonces of the latest changes. The nonces show whether a write whose reply was lost was applied.
struct ConfigurationValue
{
    std::vector<std::string> m_nonces; // The newest is last.
    std::string m_text;

    // Parses a stored value; without the comment line it has no nonces.
    static ConfigurationValue parse(std::string_view value);

    // Returns the value in its stored form.
    std::string toString() const;

    // Returns true if the change with that nonce made this value or a recent predecessor.
    bool contains(std::string_view nonce) const;

    // Returns this value with the text replaced and the change's nonce added.
    ConfigurationValue withChange(const std::string &nonce, const std::string &text) const;

    friend bool operator==(const ConfigurationValue &, const ConfigurationValue &) = default;
};

// Returns true if the nonce can be stored: 1 to 64 letters, digits or hyphens.
bool isValidNonce(std::string_view nonce);

} // namespace burdockhead
