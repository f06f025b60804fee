#include <burdockhead/idempotency/ticket.h>

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <xxhash.h>

namespace burdockhead {

namespace {

constexpr std::string_view prefix = "tk1.";
constexpr std::size_t maxTicketLength = 512;
constexpr std::size_t numericFieldCount = 4;

std::uint64_t checksumOf(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

// Parses a hexadecimal number; accepts only the canonical form that fmt writes.
std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, 16);
    if (result.ec != std::errc() || result.ptr != end || fmt::format("{:x}", value) != text)
        return std::nullopt;
    return value;
}

// Removes the last field and its dot from the text and returns its number.
std::optional<std::uint64_t> takeLastNumber(std::string_view &text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto value = parseNumber(text.substr(dot + 1));
    text = text.substr(0, dot);
    return value;
}

} // namespace

std::optional<Ticket> Ticket::parse(std::string_view text)
{
    if (!hasTicketPrefix(text) || text.size() > maxTicketLength)
        return std::nullopt;
    std::string_view rest = text;
    const auto checksum = takeLastNumber(rest);
    if (!checksum || *checksum != checksumOf(rest))
        return std::nullopt;
    std::array<std::uint64_t, numericFieldCount - 1> numbers{};
    for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
        const auto value = takeLastNumber(rest);
        if (!value)
            return std::nullopt;
        *number = *value;
    }
    if (rest.size() <= prefix.size())
        return std::nullopt;
    const std::string endpoint(rest.substr(prefix.size()));
    return Ticket{EndpointName(endpoint), Incarnation{numbers[0]}, numbers[1], numbers[2]};
}

bool Ticket::hasTicketPrefix(std::string_view text)
{
    return text.starts_with(prefix);
}

std::string Ticket::toString() const
{
    const std::string body = fmt::format("{}{}.{:x}.{:x}.{:x}", prefix, m_endpoint.text(),
                                         m_incarnation.m_value, m_issuer, m_number);
    return fmt::format("{}.{:x}", body, checksumOf(body));
}

} // namespace burdockhead
