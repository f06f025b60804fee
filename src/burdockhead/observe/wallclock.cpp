#include <burdockhead/observe/wallclock.h>

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace burdockhead {

namespace {

constexpr std::uint64_t millisecondsPerSecond = 1000;
constexpr std::size_t fractionDigits = 3;

// Parses an optional ".123" and an optional 'Z'; returns no value on any other text.
std::optional<std::uint64_t> parseFraction(std::string_view text)
{
    if (text.ends_with('Z'))
        text.remove_suffix(1);
    if (text.empty())
        return 0;
    std::uint64_t fraction = 0;
    const char *end = text.data() + text.size();
    if (text.size() != fractionDigits + 1 || text.front() != '.')
        return std::nullopt;
    const auto result = std::from_chars(text.data() + 1, end, fraction);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return fraction;
}

} // namespace

std::uint64_t bootMilliseconds()
{
    constexpr std::uint64_t millisecondsInSecond = 1000;
    constexpr std::uint64_t nanosecondsPerMillisecond = 1000000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * millisecondsInSecond
           + static_cast<std::uint64_t>(now.tv_nsec) / nanosecondsPerMillisecond;
}

std::uint64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string wallTimeText(std::uint64_t milliseconds)
{
    const auto seconds = static_cast<std::time_t>(milliseconds / millisecondsPerSecond);
    std::tm calendarTime = {};
    gmtime_r(&seconds, &calendarTime);
    std::array<char, 40> date = {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &calendarTime);
    std::array<char, 8> fraction = {};
    std::snprintf(fraction.data(), fraction.size(), ".%03u",
                  static_cast<unsigned>(milliseconds % millisecondsPerSecond));
    return std::string(date.data()) + fraction.data();
}

std::optional<std::uint64_t> parseWallTime(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec == std::errc() && result.ptr == end)
        return number;
    std::tm calendarTime = {};
    const std::string terminatedText(text);
    const char *fractionText = strptime(terminatedText.c_str(), "%Y-%m-%dT%H:%M:%S", &calendarTime);
    if (fractionText == nullptr)
        return std::nullopt;
    const auto fraction = parseFraction(fractionText);
    const std::time_t seconds = timegm(&calendarTime);
    if (!fraction || seconds < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(seconds) * millisecondsPerSecond + *fraction;
}

} // namespace burdockhead
