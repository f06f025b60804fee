#include <burdockhead/settings/valuetext.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace burdockhead {

const char *const allowedName =
    "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit";
const char *const allowedNameList = "names separated by commas, none twice";
const char *const allowedAddress = "HOST:PORT with an IP number and a port from 1 to 65535";
const char *const allowedAddressList = "HOST:PORT with an IP number, separated by commas";

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::string_view urlScheme = "http://";

constexpr std::array logLevels = {LogLevel::Debug, LogLevel::Info, LogLevel::Warning,
                                  LogLevel::Error};

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9');
}

bool isNameCharacter(char character)
{
    return isLetterOrDigit(character) || character == '.' || character == '_' || character == '-';
}

std::string trimBlanks(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

} // namespace

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength && isLetterOrDigit(text.front())
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    if (trimBlanks(text).empty())
        return items;
    std::string_view rest = text;
    for (;;) {
        const std::size_t comma = rest.find(',');
        items.push_back(trimBlanks(rest.substr(0, comma)));
        if (comma == std::string_view::npos)
            return items;
        rest.remove_prefix(comma + 1);
    }
}

std::string joinList(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items)
        text += (text.empty() ? "" : ", ") + item;
    return text;
}

std::optional<std::uint64_t> readNumber(const std::string &text, std::uint64_t low,
                                        std::uint64_t high)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end || number < low || number > high)
        return std::nullopt;
    return number;
}

bool readValue(const std::string &text, SocketAddress &value)
{
    const auto address = SocketAddress::parse(text);
    value = address.value_or(SocketAddress());
    return address.has_value();
}

bool readValue(const std::string &text, std::vector<SocketAddress> &value)
{
    value.clear();
    for (const std::string &item : splitList(text)) {
        const auto address = SocketAddress::parse(item);
        if (!address)
            return false;
        value.push_back(*address);
    }
    return true;
}

bool readValue(const std::string &text, WebUrl &value)
{
    value.m_text = text;
    if (!text.starts_with(urlScheme) || text.ends_with('/'))
        return false;
    const std::string rest = text.substr(urlScheme.size());
    return SocketAddress::parse(rest.substr(0, rest.find('/'))).has_value();
}

bool readValue(const std::string &text, LogLevel &value)
{
    const auto found = std::find_if(logLevels.begin(), logLevels.end(),
                                    [&](LogLevel level) { return text == toString(level); });
    if (found == logLevels.end())
        return false;
    value = *found;
    return true;
}

bool readValue(const std::string &text, bool &value)
{
    value = text == printValue(true);
    return value || text == printValue(false);
}

std::string printValue(bool value)
{
    return value ? "true" : "false";
}

std::string printValue(const SocketAddress &value)
{
    return value.m_port == 0 ? "" : value.toString();
}

std::string printValue(const std::vector<SocketAddress> &value)
{
    std::vector<std::string> items;
    items.reserve(value.size());
    for (const SocketAddress &address : value)
        items.push_back(address.toString());
    return joinList(items);
}

std::string printValue(const WebUrl &value)
{
    return value.m_text;
}

std::string printValue(LogLevel value)
{
    return toString(value);
}

std::string printValue(Milliseconds value)
{
    return std::to_string(value.count());
}

std::optional<double> readFraction(const std::string &text, double high)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (result.ec != std::errc() || result.ptr != end || value < 0 || value > high)
        return std::nullopt;
    return value;
}

std::string printFraction(double value)
{
    std::array<char, 32> text{};
    const auto result =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    return {text.data(), result.ptr};
}

} // namespace burdockhead
