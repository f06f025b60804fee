#include <burdockhead/net/connectionheaders.h>
#include <burdockhead/net/httpwriting.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace burdockhead {

namespace {

constexpr std::array<std::string_view, 9> knownNames = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect",
};
constexpr std::string_view whitespace = " \t";

bool isLess(std::string_view left, std::string_view right)
{
    return std::lexicographical_compare(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) < std::tolower(b); });
}

std::string_view trimmed(std::string_view token)
{
    const auto first = token.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return token.substr(first, token.find_last_not_of(whitespace) - first + 1);
}

} // namespace

ConnectionHeaders::ConnectionHeaders(const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        if (!isSameHeaderName(header.m_name, "Connection"))
            continue;
        std::string_view rest = header.m_value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            m_named.push_back(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    std::sort(m_named.begin(), m_named.end(), isLess);
}

bool ConnectionHeaders::contains(std::string_view name) const
{
    const bool isKnown =
        std::any_of(knownNames.begin(), knownNames.end(),
                    [&](std::string_view known) { return isSameHeaderName(name, known); });
    return isKnown || std::binary_search(m_named.begin(), m_named.end(), name, isLess);
}

} // namespace burdockhead
