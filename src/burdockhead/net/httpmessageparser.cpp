#include <burdockhead/http/responsestatus.h>
#include <burdockhead/net/httpmessageparser.h>

#include <algorithm>
#include <http_parser.h>
#include <limits>

namespace burdockhead {

namespace {

constexpr std::uint64_t noContentLength = std::numeric_limits<std::uint64_t>::max();

// The parser lets blanks in names pass, which other parsers read differently.
bool hasValidNames(const HttpHeaders &headers)
{
    return std::all_of(headers.begin(), headers.end(), [](const HttpHeader &header) {
        return header.m_name.find_first_of(" \t") == std::string::npos;
    });
}

// Finds the blank line that ends a head, in whatever parts the bytes come.
class HeadEndFinder
{
public:
    // Returns how many of the bytes belong to the head.
    std::size_t find(std::string_view bytes)
    {
        for (std::size_t index = 0; index < bytes.size() && !m_isFound; ++index) {
            const char byte = bytes[index];
            // Empty lines before a message are skipped, as by the parser.
            m_isFound = byte == '\n' && m_isLineEmpty && m_hasLine;
            if (m_isFound)
                return index + 1;
            if (byte == '\n') {
                m_isLineEmpty = true;
            } else if (byte != '\r') {
                m_isLineEmpty = false;
                m_hasLine = true;
            }
        }
        return m_isFound ? 0 : bytes.size();
    }

private:
    bool m_hasLine = false;
    bool m_isLineEmpty = true;
    bool m_isFound = false;
};

} // namespace

struct HttpMessageParser::Private
{
    Private(HttpMessageType type, HttpMessageSink &sink)
        : m_type(type)
        , m_sink(sink)
    {}

    static Private &of(http_parser *parser) { return *static_cast<Private *>(parser->data); }
    static http_parser_settings callbacks();
    int headComplete(http_parser *parser);
    bool isResponseValid(const http_parser &parser) const;
    void keepStatusLine(std::string_view bytes);

    const HttpMessageType m_type;
    HttpMessageSink &m_sink;
    http_parser m_parser{};
    HttpHead m_head;
    std::string m_statusLine; // Its first bytes.
    bool m_lastWasValue = true;
    bool m_hasNoBody = false;
    bool m_hasHead = false;
    bool m_isComplete = false;
    bool m_isMalformed = false;
    HeadEndFinder m_headEnd;
    std::size_t m_headBytes = 0;
    std::size_t m_maxHeaders = 0; // For which the head has room.
    std::size_t m_textBytes = 0;  // Of the target, names and values.
    std::size_t m_bytes = 0;
};

// Empty lines before a message are skipped, as by the library.
void HttpMessageParser::Private::keepStatusLine(std::string_view bytes)
{
    if (m_type != HttpMessageType::Response || m_statusLine.size() == statusLineBytes)
        return;
    if (m_statusLine.empty())
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    m_statusLine.append(bytes.substr(0, statusLineBytes - m_statusLine.size()));
}

// What isn't a response in the protocol must not be waited for or passed on as one.
bool HttpMessageParser::Private::isResponseValid(const http_parser &parser) const
{
    const bool isChunked = (parser.flags & F_CHUNKED) != 0;
    const bool hasLength = parser.content_length != noContentLength && parser.content_length > 0;
    return hasValidStatus(m_statusLine)
           && !(mustAnnounceNoBody(parser.status_code) && (isChunked || hasLength));
}

int HttpMessageParser::Private::headComplete(http_parser *parser)
{
    if (parser->upgrade != 0 && m_type == HttpMessageType::Request) {
        m_isMalformed = true; // Tunnels are not offered.
        return -1;
    }
    const bool isValid = m_type == HttpMessageType::Request || isResponseValid(*parser);
    if (!isValid || !hasValidNames(m_head.m_headers)) {
        m_isMalformed = true;
        return -1;
    }
    m_hasHead = true;
    m_head.m_status = parser->status_code;
    if (m_type == HttpMessageType::Request)
        m_head.m_method = http_method_str(static_cast<http_method>(parser->method));
    m_head.m_keepsConnection = http_should_keep_alive(parser) != 0;
    const bool isChunked = (parser->flags & F_CHUNKED) != 0;
    if (parser->content_length != noContentLength && !isChunked)
        m_head.m_contentLength = parser->content_length;
    m_head.m_endsWithConnection = m_type == HttpMessageType::Response && !m_hasNoBody && !isChunked
                                  && !m_head.m_contentLength && mayHaveBody(parser->status_code);
    const bool hasNoBody =
        m_type == HttpMessageType::Response && (m_hasNoBody || !mayHaveBody(parser->status_code));
    // A peer may send the content that such a head announces nevertheless, at any time.
    if (hasNoBody && (isChunked || m_head.m_contentLength.value_or(0) > 0))
        m_head.m_keepsConnection = false;
    m_sink.messageHead(std::move(m_head));
    return hasNoBody ? 1 : 0;
}

http_parser_settings HttpMessageParser::Private::callbacks()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser *parser, const char *at, std::size_t length) {
        of(parser).m_head.m_target.append(at, length);
        of(parser).m_textBytes += length;
        return 0;
    };
    settings.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
        Private &d = of(parser);
        if (d.m_hasHead)
            return 0; // Trailers are dropped.
        if (d.m_lastWasValue)
            d.m_head.m_headers.emplace_back();
        d.m_lastWasValue = false;
        d.m_head.m_headers.back().m_name.append(at, length);
        d.m_maxHeaders = d.m_head.m_headers.capacity();
        d.m_textBytes += length;
        return 0;
    };
    settings.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
        Private &d = of(parser);
        if (d.m_hasHead || d.m_head.m_headers.empty())
            return 0;
        d.m_lastWasValue = true;
        d.m_head.m_headers.back().m_value.append(at, length);
        d.m_textBytes += length;
        return 0;
    };
    settings.on_headers_complete = [](http_parser *parser) {
        return of(parser).headComplete(parser);
    };
    settings.on_body = [](http_parser *parser, const char *at, std::size_t length) {
        of(parser).m_sink.messageBody({at, length});
        return 0;
    };
    settings.on_message_complete = [](http_parser *parser) {
        of(parser).m_isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    };
    return settings;
}

HttpMessageParser::HttpMessageParser(HttpMessageType type, HttpMessageSink &sink)
    : m_d(std::make_unique<Private>(type, sink))
{
    reset();
}

HttpMessageParser::~HttpMessageParser() = default;

void HttpMessageParser::reset(bool hasNoBody)
{
    Private &d = *m_d;
    http_parser_init(&d.m_parser,
                     d.m_type == HttpMessageType::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    d.m_parser.data = &d;
    d.m_head = {};
    d.m_statusLine.clear();
    d.m_lastWasValue = true;
    d.m_hasNoBody = hasNoBody;
    d.m_hasHead = false;
    d.m_isComplete = false;
    d.m_isMalformed = false;
    d.m_headEnd = {};
    d.m_headBytes = 0;
    d.m_maxHeaders = 0;
    d.m_textBytes = 0;
    d.m_bytes = 0;
}

std::size_t HttpMessageParser::feed(std::string_view bytes)
{
    static const http_parser_settings settings = Private::callbacks();
    Private &d = *m_d;
    if (d.m_isMalformed || d.m_isComplete || bytes.empty())
        return 0;
    if (!d.m_hasHead)
        d.m_headBytes += d.m_headEnd.find(bytes);
    d.keepStatusLine(bytes);
    const std::size_t used =
        http_parser_execute(&d.m_parser, &settings, bytes.data(), bytes.size());
    d.m_bytes += used;
    const auto error = HTTP_PARSER_ERRNO(&d.m_parser);
    if (!d.m_isComplete && (error != HPE_OK || used != bytes.size()))
        d.m_isMalformed = true;
    return used;
}

void HttpMessageParser::finish()
{
    static const http_parser_settings settings = Private::callbacks();
    Private &d = *m_d;
    if (d.m_isMalformed || d.m_isComplete)
        return;
    (void)http_parser_execute(&d.m_parser, &settings, nullptr, 0);
    if (!d.m_isComplete)
        d.m_isMalformed = true;
}

bool HttpMessageParser::isMalformed() const
{
    return m_d->m_isMalformed;
}

bool HttpMessageParser::isComplete() const
{
    return m_d->m_isComplete;
}

bool HttpMessageParser::hasBegun() const
{
    return m_d->m_bytes > 0;
}

bool HttpMessageParser::hasHead() const
{
    return m_d->m_hasHead;
}

std::size_t HttpMessageParser::headBytes() const
{
    return m_d->m_headBytes;
}

// Texts take up to twice their length.
std::size_t HttpMessageParser::headMemory() const
{
    return m_d->m_maxHeaders * sizeof(HttpHeader) + 2 * m_d->m_textBytes;
}

} // namespace burdockhead
