#include <burdockhead/net/httpexchange.h>
#include <burdockhead/net/httpserverconnection.h>
#include <burdockhead/net/httpwriting.h>

namespace burdockhead {

HttpExchange::HttpExchange(std::weak_ptr<HttpServerConnection> connection, HttpHead head,
                           std::string body, ClientCharge charge)
    : m_connection(std::move(connection))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_charge(std::move(charge))
{}

// What follows the head of a response to HEAD is the next response on the connection.
bool HttpExchange::hasResponseBody() const
{
    return m_head.m_method != "HEAD";
}

void HttpExchange::answer(int status, HttpHeaders headers, std::string_view body)
{
    const auto connection = m_connection.lock();
    if (!connection || m_isOver || m_hasStarted)
        return;
    m_hasStarted = true;
    headers.push_back({"Content-Length", std::to_string(body.size())});
    if (connection->willClose())
        headers.push_back({"Connection", "close"});
    std::string text = responseHead(status, headers);
    if (hasResponseBody())
        text.append(body);
    connection->write(text);
    m_isOver = true;
    m_clientGone = nullptr;
    connection->answerEnded(*this, true);
}

void HttpExchange::startAnswer(int status, HttpHeaders headers)
{
    const auto connection = m_connection.lock();
    if (!connection || m_isOver || m_hasStarted)
        return;
    m_hasStarted = true;
    headers.push_back({"Transfer-Encoding", "chunked"});
    if (connection->willClose())
        headers.push_back({"Connection", "close"});
    connection->write(responseHead(status, headers));
}

void HttpExchange::sendPart(std::string_view bytes)
{
    const auto connection = m_connection.lock();
    if (connection && !m_isOver && m_hasStarted && hasResponseBody() && !bytes.empty())
        connection->write(chunk(bytes));
}

std::size_t HttpExchange::queuedBytes() const
{
    const auto connection = m_connection.lock();
    return connection && !m_isOver ? connection->queuedBytes() : 0;
}

void HttpExchange::finishAnswer()
{
    const auto connection = m_connection.lock();
    if (!connection || m_isOver || !m_hasStarted)
        return;
    if (hasResponseBody())
        connection->write(chunk({}));
    m_isOver = true;
    m_clientGone = nullptr;
    connection->answerEnded(*this, true);
}

void HttpExchange::breakOff()
{
    const auto connection = m_connection.lock();
    if (!connection || m_isOver)
        return;
    m_isOver = true;
    m_clientGone = nullptr;
    connection->answerEnded(*this, false);
}

} // namespace burdockhead
