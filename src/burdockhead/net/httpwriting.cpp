#include <burdockhead/http/httprequest.h>
#include <burdockhead/net/httpwriting.h>

#include <array>
#include <charconv>
#include <strings.h>

namespace burdockhead {

namespace {

struct StatusText
{
    int m_status;
    const char *m_text;
};

constexpr std::array<StatusText, 14> statusTexts = {{
    {200, "OK"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {404, "Not Found"},
    {408, "Request Timeout"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
}};

const char *statusText(int status)
{
    for (const StatusText &item : statusTexts) {
        if (item.m_status == status)
            return item.m_text;
    }
    return "Status";
}

void appendHeaders(std::string &text, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers)
        text.append(header.m_name).append(": ").append(header.m_value).append("\r\n");
    text.append("\r\n");
}

} // namespace

std::string requestHead(std::string_view method, std::string_view target,
                        const HttpHeaders &headers)
{
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    appendHeaders(text, headers);
    return text;
}

std::string responseHead(int status, const HttpHeaders &headers)
{
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + " " + std::string(statusText(status)) + "\r\n";
    appendHeaders(text, headers);
    return text;
}

std::string chunk(std::string_view bytes)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::size_t)> size{};
    const auto end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal);
    std::string text(size.data(), end.ptr);
    text.append("\r\n").append(bytes).append("\r\n");
    return text;
}

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<unsigned> keepAliveSeconds(const HttpHeaders &headers)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = findHeader(headers, "Keep-Alive");
    if (!value)
        return std::nullopt;
    const auto found = value->find(parameter);
    if (found == std::string::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char *first = value->data() + found + parameter.size();
    const auto result = std::from_chars(first, value->data() + value->size(), seconds);
    return result.ec == std::errc() ? std::optional(seconds) : std::nullopt;
}

} // namespace burdockhead
