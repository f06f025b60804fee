#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// Milliseconds since 1970 by the VM's clock. For time stamps only; decisions reckon with
// the steady clock.
std::uint64_t wallMilliseconds();

// Milliseconds since the VM's start, with those in which it was suspended, which the steady clock
// leaves out. Tells how old something is that was heard before.
std::uint64_t bootMilliseconds();

// Milliseconds since 1970 as "2026-12-03T22:10:05.123" in UTC.
std::string wallTimeText(std::uint64_t milliseconds);

// Reads "YYYY-MM-DDTHH:MM:SS" in UTC, with or without a fraction or a 'Z', or a whole
// number of milliseconds since 1970; none on any other text.
std::optional<std::uint64_t> parseWallTime(std::string_view text);

} // namespace burdockhead
