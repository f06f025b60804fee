#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// Returns milliseconds since 1970 by the VM's wall clock. For timestamps only; decisions use
// the steady clock.
std::uint64_t wallMilliseconds();

// Returns milliseconds since the VM booted, including time in suspension, which the steady
// clock excludes. For the age of information received earlier.
std::uint64_t bootMilliseconds();

// Formats milliseconds since 1970 as "2026-12-03T22:10:05.123" in UTC.
std::string wallTimeText(std::uint64_t milliseconds);

// Parses "YYYY-MM-DDTHH:MM:SS" in UTC with an optional fraction and 'Z', or a whole number
// of milliseconds since 1970; returns no value on any other text.
std::optional<std::uint64_t> parseWallTime(std::string_view text);

} // namespace burdockhead
