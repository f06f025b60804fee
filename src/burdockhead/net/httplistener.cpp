#include <burdockhead/net/httplistener.h>
#include <burdockhead/net/httpserverconnection.h>
#include <burdockhead/observe/log.h>

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <unordered_map>

namespace burdockhead {

namespace {

// The pause after an accept that failed, for want of descriptors for example.
constexpr Milliseconds acceptRetryPause{100};
// What the kernel keeps of a client that isn't read; windows are fixed as connections are made.
constexpr int receiveBufferBytes = static_cast<int>(clientReceiveBufferBytes);

} // namespace

// An accept that has succeeded already comes after the listener has gone.
struct HttpListener::Private : std::enable_shared_from_this<Private>
{
    Private(EventLoop &loop, HttpExchangeHandler handler, ClientBudgetPointer budget)
        : m_shared(std::make_shared<HttpServerShared>(
            HttpServerShared{loop, std::move(handler), std::move(budget)}))
        , m_acceptor(loop.context())
    {
        m_shared->m_forget = [this](HttpServerConnection &connection) {
            m_connections.erase(&connection);
        };
    }

    ~Private()
    {
        m_shared->m_forget = [](HttpServerConnection &) {};
    }

    void accept();
    void accepted(asio::ip::tcp::socket socket);

    const std::shared_ptr<HttpServerShared> m_shared;
    asio::ip::tcp::acceptor m_acceptor;
    std::unordered_map<HttpServerConnection *, std::shared_ptr<HttpServerConnection>> m_connections;
};

void HttpListener::Private::accept()
{
    m_acceptor.async_accept(
        [weak = weak_from_this()](const asio::error_code &error, asio::ip::tcp::socket socket) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (!error)
                self->accepted(std::move(socket));
            if (!self->m_acceptor.is_open())
                return;
            if (!error) {
                self->accept();
                return;
            }
            logWarning("accept_failed", {{"reason", error.message()}});
            self->m_shared->m_loop.callAt(Clock::now() + acceptRetryPause, [weak] {
                if (const auto self = weak.lock())
                    self->accept();
            });
        });
}

void HttpListener::Private::accepted(asio::ip::tcp::socket socket)
{
    asio::error_code error;
    socket.non_blocking(true, error);
    const int descriptor = socket.release(error);
    if (error) {
        logWarning("accept_failed", {{"reason", error.message()}});
        return;
    }
    auto connection = std::make_shared<HttpServerConnection>(m_shared, descriptor);
    if (connection->start())
        m_connections.emplace(connection.get(), connection);
}

HttpListener::HttpListener(EventLoop &loop, HttpExchangeHandler handler, ClientBudgetPointer budget)
    : m_d(std::make_shared<Private>(loop, std::move(handler),
                                    budget ? std::move(budget)
                                           : std::make_shared<ClientBudget>(ClientBudgetLimits())))
{}

HttpListener::~HttpListener() = default;

bool HttpListener::start(const SocketAddress &address, std::string &error)
{
    asio::error_code failure;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.m_host, failure),
                                           address.m_port);
    if (!failure)
        m_d->m_acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        m_d->m_acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    if (!failure)
        m_d->m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes),
                                   failure);
    if (!failure)
        m_d->m_acceptor.bind(endpoint, failure);
    if (!failure)
        m_d->m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure) {
        error = address.toString() + ": " + failure.message();
        return false;
    }
    m_d->accept();
    return true;
}

void HttpListener::setLimits(const HttpServerLimits &limits)
{
    m_d->m_shared->m_limits = limits;
    m_d->m_shared->m_budget->admitRequestsOf(limits.m_maxBodyBytes);
}

void HttpListener::setRefusalBody(std::function<std::string(int status)> refusalBody)
{
    m_d->m_shared->m_refusalBody = std::move(refusalBody);
}

void HttpListener::closeAfterAnswers()
{
    m_d->m_shared->m_closesAfterAnswers = true;
}

void HttpListener::closeIdle()
{
    for (const auto &[pointer, connection] : m_d->m_connections)
        connection->closeIfIdle();
}

void HttpListener::stopAccepting()
{
    asio::error_code error;
    m_d->m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(m_d->m_shared->m_loop.context());
        m_d->m_acceptor.accept(socket, error);
        if (!error)
            m_d->accepted(std::move(socket));
    }
    asio::error_code ignored; // Closing frees the descriptor whatever it reports.
    m_d->m_acceptor.close(ignored);
}

std::size_t HttpListener::openRequests() const
{
    return m_d->m_shared->m_openRequests;
}

bool HttpListener::isSendingResponses() const
{
    return std::any_of(m_d->m_connections.begin(), m_d->m_connections.end(),
                       [](const auto &item) { return item.second->isSending(); });
}

bool HttpListener::mayOweResponses() const
{
    return std::any_of(m_d->m_connections.begin(), m_d->m_connections.end(),
                       [](const auto &item) { return item.second->mayOweResponse(); });
}

} // namespace burdockhead
