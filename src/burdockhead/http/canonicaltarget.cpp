#include <burdockhead/http/canonicaltarget.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

namespace burdockhead {

namespace {

constexpr std::size_t escapeLength = 3; // A percent sign and two digits.
constexpr int hexadecimal = 16;

// As of RFC 3986, section 2.3.
bool isUnreserved(unsigned char character)
{
    return std::isalnum(character) != 0
           || std::string_view("-._~").find(static_cast<char>(character)) != std::string_view::npos;
}

// Returns the escaped character at the begin of the text; -1 if there is none.
int escapedCharacter(std::string_view text)
{
    if (text.size() < escapeLength || text.front() != '%')
        return -1;
    unsigned value = 0;
    const char *end = text.data() + escapeLength;
    const auto result = std::from_chars(text.data() + 1, end, value, hexadecimal);
    return result.ptr == end ? static_cast<int>(value) : -1;
}

std::string normalizeEscapes(std::string_view text)
{
    std::string normalized;
    normalized.reserve(text.size());
    while (!text.empty()) {
        const int escaped = escapedCharacter(text);
        const std::size_t length = escaped < 0 ? 1 : escapeLength;
        if (escaped >= 0 && isUnreserved(static_cast<unsigned char>(escaped))) {
            normalized += static_cast<char>(escaped);
        } else {
            for (const char character : text.substr(0, length))
                normalized +=
                    escaped < 0
                        ? character
                        : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
        }
        text.remove_prefix(length);
    }
    return normalized;
}

} // namespace

std::string canonicalTarget(std::string_view target)
{
    std::string normalized = normalizeEscapes(target);
    const std::size_t queryStart = normalized.find('?');
    if (queryStart == std::string::npos)
        return normalized;
    std::vector<std::string_view> parameters;
    std::string_view rest = std::string_view(normalized).substr(queryStart + 1);
    while (true) {
        const std::size_t end = rest.find('&');
        parameters.push_back(rest.substr(0, end));
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    std::sort(parameters.begin(), parameters.end());
    std::string canonical = normalized.substr(0, queryStart);
    char separator = '?';
    for (const std::string_view parameter : parameters) {
        canonical += separator;
        canonical += parameter;
        separator = '&';
    }
    return canonical;
}

} // namespace burdockhead
