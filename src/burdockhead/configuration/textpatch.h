#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace burdockhead {

// Patch that keeps a prefix and a suffix of the base text and replaces what is between them. Keeps
// the traffic of a change small when only a few lines differ.
struct TextPatch
{
    std::uint64_t m_prefix = 0; // Bytes kept from the start of the base.
    std::uint64_t m_suffix = 0; // Bytes kept from the end of the base.
    std::string m_middle;
    std::uint64_t m_hash = 0; // XXH64 of the resulting text.

    // Returns the patch that turns base into text.
    static TextPatch between(const std::string &base, const std::string &text);

    // Returns the patched text; none if the patch was made for another base.
    std::optional<std::string> applyTo(const std::string &base) const;

    friend bool operator==(const TextPatch &, const TextPatch &) = default;
};

} // namespace burdockhead
