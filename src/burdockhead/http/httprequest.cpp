#include <burdockhead/http/httprequest.h>

#include <charconv>
#include <strings.h>

namespace burdockhead {

namespace {

std::string decodeUrlText(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        const char *first = text.data() + index + 1;
        if (text[index] == '%' && index + 2 < text.size()
            && std::from_chars(first, first + 2, value, 16).ptr == first + 2) {
            decoded.push_back(static_cast<char>(value));
            index += 2;
        } else {
            decoded.push_back(text[index] == '+' ? ' ' : text[index]);
        }
    }
    return decoded;
}

} // namespace

std::optional<std::string> findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (header.m_name.size() == name.size()
            && strncasecmp(header.m_name.data(), name.data(), name.size()) == 0)
            return header.m_value;
    }
    return std::nullopt;
}

std::optional<std::string> HttpRequest::header(std::string_view name) const
{
    return findHeader(m_headers, name);
}

std::optional<std::string> HttpRequest::queryValue(std::string_view name) const
{
    std::string_view rest = m_query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string()
                                                    : decodeUrlText(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace burdockhead
