#include <burdockhead/configuration/configurationvalue.h>

#include <algorithm>
#include <cctype>

namespace burdockhead {

namespace {

constexpr std::string_view marker = "; changes:";
constexpr std::size_t maxNonces = 16;
constexpr std::size_t maxNonceLength = 64;

} // namespace

ConfigurationValue ConfigurationValue::parse(std::string_view value)
{
    ConfigurationValue parsed;
    if (!value.starts_with(marker)) {
        parsed.m_text = value;
        return parsed;
    }
    const std::size_t lineEnd = std::min(value.find('\n'), value.size());
    std::string_view line = value.substr(marker.size(), lineEnd - marker.size());
    while (!line.empty()) {
        const std::size_t space = std::min(line.find(' '), line.size());
        if (space > 0)
            parsed.m_nonces.emplace_back(line.substr(0, space));
        line.remove_prefix(std::min(space + 1, line.size()));
    }
    parsed.m_text = value.substr(std::min(lineEnd + 1, value.size()));
    return parsed;
}

std::string ConfigurationValue::toString() const
{
    if (m_nonces.empty())
        return m_text;
    std::string value(marker);
    for (const std::string &nonce : m_nonces)
        value += " " + nonce;
    return value + "\n" + m_text;
}

bool ConfigurationValue::contains(std::string_view nonce) const
{
    return std::find(m_nonces.begin(), m_nonces.end(), nonce) != m_nonces.end();
}

ConfigurationValue ConfigurationValue::withChange(const std::string &nonce,
                                                  const std::string &text) const
{
    ConfigurationValue value{m_nonces, text};
    value.m_nonces.push_back(nonce);
    if (value.m_nonces.size() > maxNonces)
        value.m_nonces.erase(value.m_nonces.begin());
    return value;
}

bool isValidNonce(std::string_view nonce)
{
    return !nonce.empty() && nonce.size() <= maxNonceLength
           && std::all_of(nonce.begin(), nonce.end(), [](unsigned char character) {
                  return std::isalnum(character) != 0 || character == '-';
              });
}

} // namespace burdockhead
