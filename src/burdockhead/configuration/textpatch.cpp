#include <burdockhead/configuration/textpatch.h>

#include <algorithm>
#include <xxhash.h>

namespace burdockhead {

TextPatch TextPatch::between(const std::string &base, const std::string &text)
{
    const std::size_t shorter = std::min(base.size(), text.size());
    std::size_t prefix = 0;
    while (prefix < shorter && base[prefix] == text[prefix])
        ++prefix;
    std::size_t suffix = 0;
    while (suffix < shorter - prefix
           && base[base.size() - 1 - suffix] == text[text.size() - 1 - suffix])
        ++suffix;
    return {prefix, suffix, text.substr(prefix, text.size() - prefix - suffix),
            XXH64(text.data(), text.size(), 0)};
}

std::optional<std::string> TextPatch::applyTo(const std::string &base) const
{
    if (m_prefix > base.size() || m_suffix > base.size() - m_prefix)
        return std::nullopt;
    std::string text = base.substr(0, m_prefix) + m_middle + base.substr(base.size() - m_suffix);
    if (XXH64(text.data(), text.size(), 0) != m_hash)
        return std::nullopt;
    return text;
}

} // namespace burdockhead
