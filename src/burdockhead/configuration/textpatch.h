#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace burdockhead {

// How to make one text from another: some of its beginning, a new middle and some of its
// end. Keeps the traffic of a change small when only a few lines differ.
struct TextPatch
{
    std::uint64_t m_prefix = 0; // Bytes kept from the beginning.
    std::uint64_t m_suffix = 0; // Bytes kept from the end.
    std::string m_middle;
    std::uint64_t m_hash = 0; // Of the resulting text.

    // The patch that turns base into text.
    static TextPatch between(const std::string &base, const std::string &text);

    // The text made from base; none when base is not the one the patch was made for.
    std::optional<std::string> applyTo(const std::string &base) const;

    friend bool operator==(const TextPatch &, const TextPatch &) = default;
};

} // namespace burdockhead
