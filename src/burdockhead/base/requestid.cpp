#include <burdockhead/base/requestid.h>

#include <fmt/format.h>

#include <charconv>

namespace burdockhead {

namespace {

constexpr std::size_t digitsPerHalf = 16;

std::optional<std::uint64_t> parseHalf(std::string_view digits)
{
    std::uint64_t value = 0;
    const char *end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value, 16);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace

RequestId RequestId::draw(Random &random)
{
    return {random(), random()};
}

std::optional<RequestId> RequestId::parse(std::string_view text)
{
    if (text.size() != 2 * digitsPerHalf)
        return std::nullopt;
    const auto high = parseHalf(text.substr(0, digitsPerHalf));
    const auto low = parseHalf(text.substr(digitsPerHalf));
    if (!high || !low)
        return std::nullopt;
    return RequestId{*high, *low};
}

std::string RequestId::toString() const
{
    return fmt::format("{:016x}{:016x}", m_high, m_low);
}

} // namespace burdockhead
