#pragma once

#include <burdockhead/base/random.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// A 128-bit number drawn at random for each request; the same over all its attempts.
struct RequestId
{
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;

    // Draws a new id.
    static RequestId draw(Random &random);

    // Reads 32 hexadecimal digits; none on any other text.
    static std::optional<RequestId> parse(std::string_view text);

    // The id as 32 hexadecimal digits.
    std::string toString() const;

    friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

} // namespace burdockhead

template <>
struct std::hash<burdockhead::RequestId>
{
    std::size_t operator()(const burdockhead::RequestId &id) const noexcept
    {
        return id.m_high ^ id.m_low;
    }
};
