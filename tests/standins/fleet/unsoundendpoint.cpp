#include "unsoundendpoint.h"

#include "endpointstandin.h"
#include "freeport.h"

#include <utility>

namespace burdockhead::test {

namespace {

constexpr Milliseconds sendInterval{2};
constexpr std::size_t bytesPerInterval = 65536;
// Nothing more is sent while this much waits for the other side to read.
constexpr std::size_t maxQueuedBytes = 1048576;

std::string headerOf(std::string_view request, const std::string &name)
{
    const std::size_t at = request.find(name + ": ");
    if (at == std::string_view::npos)
        return {};
    const std::size_t begin = at + name.size() + 2;
    return std::string(request.substr(begin, request.find('\r', begin) - begin));
}

std::string firstBytes(UnsoundBytes kind, const std::string &headers)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
    switch (kind) {
    case UnsoundBytes::EndlessHeader:
        return head + "X-Long: ";
    case UnsoundBytes::EndlessBody:
        return head + "\r\n";
    case UnsoundBytes::EndlessChunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n";
    case UnsoundBytes::EndlessChunkExtension:
        return head + "Transfer-Encoding: chunked\r\n\r\n1;a=";
    case UnsoundBytes::EndlessSmallParts:
        return head + "Transfer-Encoding: chunked\r\n\r\n";
    case UnsoundBytes::EndlessLongBody:
        return head + "Content-Length: 4611686018427387904\r\n\r\n";
    case UnsoundBytes::EndlessEvents:
        return head + "Content-Type: text/event-stream\r\n\r\n";
    case UnsoundBytes::EndlessEvent:
        return head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
    default:
        return {};
    }
}

std::string furtherBytes(UnsoundBytes kind)
{
    std::string unit = "x";
    if (kind == UnsoundBytes::EndlessInterim)
        unit = "HTTP/1.1 102 Processing\r\n\r\n";
    else if (kind == UnsoundBytes::EndlessChunks)
        unit = "10\r\n0123456789abcdef\r\n";
    else if (kind == UnsoundBytes::EndlessSmallParts)
        unit = "1\r\nx\r\n";
    std::string bytes;
    while (bytes.size() < bytesPerInterval)
        bytes += unit;
    return bytes;
}

// Events from that one on.
std::string furtherEvents(std::uint64_t &next)
{
    constexpr std::size_t eventBytes = 1000;
    const std::string data(eventBytes, 'x');
    std::string bytes;
    while (bytes.size() < bytesPerInterval)
        bytes += "id: " + std::to_string(next++) + "\ndata: " + data + "\n\n";
    return bytes;
}

} // namespace

UnsoundEndpoint::UnsoundEndpoint(EventLoop &loop, UnsoundBytes kind, bool statesRequest)
    : m_loop(loop)
    , m_kind(kind)
    , m_statesRequest(statesRequest)
    , m_address(freeLoopbackAddress())
    , m_acceptor(loop.context(),
                 asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_address.m_port))
{
    accept();
}

UnsoundEndpoint::~UnsoundEndpoint()
{
    m_loop.cancel(m_timer);
    for (const auto &connection : m_connections)
        connection->m_stream->close();
}

std::string UnsoundEndpoint::entry(const std::string &service) const
{
    return R"({"service":")" + service + R"(","address":")" + m_address.toString()
           + R"(","zone":"a","slots":40,"state":"ready",)"
           + R"("coldRemainingMs":0,"born":1777694836900,"sequence":1})";
}

void UnsoundEndpoint::setAnswer(std::string statusLine, std::string rest)
{
    m_statusLine = std::move(statusLine);
    m_rest = std::move(rest);
}

void UnsoundEndpoint::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        socket.non_blocking(true);
        m_connections.push_back(std::make_unique<Connection>());
        Connection &connection = *m_connections.back();
        connection.m_endpoint = this;
        connection.m_stream = TcpStream::adopt(m_loop, socket.release(), connection);
        accept();
    });
}

void UnsoundEndpoint::Connection::streamReceived(std::string_view bytes)
{
    m_endpoint->answer(*this, bytes);
}

void UnsoundEndpoint::Connection::streamEnded(StreamEnd)
{
    m_isSending = false;
    m_stream->close();
}

void UnsoundEndpoint::answer(Connection &connection, std::string_view request)
{
    ++m_requests;
    const std::string id = headerOf(request, "X-Request-Id");
    const std::string headers = (m_statesRequest ? "X-Request-Id: " + id + "\r\n" : std::string())
                                + "X-Response-Seal: seal." + id + "\r\n";
    if (m_kind == UnsoundBytes::RepeatedAnswer) {
        const std::string body = "answer to " + id;
        const std::string answer = "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: "
                                   + std::to_string(body.size()) + "\r\n\r\n" + body;
        connection.m_stream->write(connection.m_lastAnswer + answer);
        connection.m_lastAnswer = answer;
        return;
    }
    if (m_kind == UnsoundBytes::RepeatedRefusal) {
        const std::string refusal =
            "HTTP/1.1 503 Busy\r\n" + headers + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        if (connection.m_lastAnswer.empty()) {
            connection.m_stream->write(refusal);
            connection.m_lastAnswer = refusal;
            return;
        }
        m_ranRequests.insert(id);
        connection.m_stream->write(std::exchange(connection.m_lastAnswer, {})
                                   + "HTTP/1.1 200 OK\r\n" + headers
                                   + "Content-Length: 2\r\n\r\nok");
        return;
    }
    if (m_kind == UnsoundBytes::GivenAnswer) {
        connection.m_stream->write(m_statusLine + "\r\n" + headers + m_rest);
        return;
    }
    if (m_kind >= UnsoundBytes::UnframedAnswer) {
        answerUnframed(connection, "HTTP/1.1 200 OK\r\n" + headers, id);
        return;
    }
    connection.m_stream->write(firstBytes(m_kind, headers));
    connection.m_isSending = true;
    if (m_timer == 0)
        sendMore();
}

void UnsoundEndpoint::answerUnframed(Connection &connection, const std::string &head,
                                     const std::string &id)
{
    const std::string stream = head + "Content-Type: text/event-stream\r\n\r\n";
    constexpr int half = EndpointStandIn::lastEvent / 2;
    switch (m_kind) {
    case UnsoundBytes::UnframedStream:
        connection.m_stream->write(stream + EndpointStandIn::events(1, EndpointStandIn::lastEvent));
        break;
    case UnsoundBytes::UnframedPartialEvent:
        connection.m_stream->write(stream + EndpointStandIn::events(1, half) + "id: 4\ndata: pa");
        break;
    default:
        connection.m_stream->write(head + "\r\nanswer to " + id);
        break;
    }
    if (m_kind != UnsoundBytes::UnframedReset) {
        connection.m_stream->finishWriting();
        return;
    }
    m_loop.callAt(Clock::now() + sendInterval, [&connection] { connection.m_stream->abort(); });
}

void UnsoundEndpoint::sendMore()
{
    const std::string bytes = furtherBytes(m_kind);
    for (const auto &connection : m_connections) {
        if (!connection->m_isSending || connection->m_stream->queuedBytes() >= maxQueuedBytes)
            continue;
        connection->m_stream->write(
            m_kind == UnsoundBytes::EndlessEvents ? furtherEvents(connection->m_nextEvent) : bytes);
    }
    m_timer = m_loop.callAt(Clock::now() + sendInterval, [this] { sendMore(); });
}

} // namespace burdockhead::test
