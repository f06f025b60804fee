#include <burdockhead/observe/log.h>
#include <burdockhead/transport/frameconnectionprivate.h>
#include <burdockhead/transport/framelistener.h>
#include <burdockhead/transport/workerpool.h>

namespace burdockhead {

namespace {

// The pause after an accept that failed, for want of descriptors for example.
constexpr Milliseconds acceptRetryPause{100};

} // namespace

struct FrameListener::Private : public std::enable_shared_from_this<Private>
{
    Private(asio::io_context &context, SocketAddress listen,
            std::function<void(FrameConnectionPointer)> onConnection,
            const FrameBudgetLimits &limits)
        : m_context(context)
        , m_acceptor(context)
        , m_retryTimer(context)
        , m_listen(std::move(listen))
        , m_onConnection(std::move(onConnection))
        , m_budget(std::make_shared<FrameBudget>(limits))
    {}

    void acceptNext();
    void accepted(asio::ip::tcp::socket socket);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    SocketAddress m_listen;
    std::function<void(FrameConnectionPointer)> m_onConnection;
    std::shared_ptr<FrameBudget> m_budget;
    std::string m_lastError;
};

void FrameListener::Private::accepted(asio::ip::tcp::socket socket)
{
    auto d = std::make_unique<FrameConnection::Private>(std::move(socket));
    d->m_budget = m_budget;
    const auto connection = std::make_shared<FrameConnection>(std::move(d));
    if (m_budget->add(connection, Clock::now()))
        m_onConnection(connection);
}

void FrameListener::Private::acceptNext()
{
    m_acceptor.async_accept(m_context, [self = shared_from_this()](const asio::error_code &error,
                                                                   asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (!error) {
            self->accepted(std::move(socket));
            self->acceptNext();
            return;
        }
        logWarning("accept_failed", {{"reason", error.message()}});
        self->m_retryTimer.expires_after(acceptRetryPause);
        self->m_retryTimer.async_wait([self](const asio::error_code &waitError) {
            if (!waitError)
                self->acceptNext();
        });
    });
}

FrameListener::FrameListener(WorkerPool &pool, SocketAddress listen,
                             std::function<void(FrameConnectionPointer)> onConnection,
                             const FrameBudgetLimits &limits)
    : m_d(std::make_shared<Private>(*static_cast<asio::io_context *>(pool.context()),
                                    std::move(listen), std::move(onConnection), limits))
{}

FrameListener::~FrameListener()
{
    asio::error_code ignored;
    m_d->m_acceptor.close(ignored);
}

bool FrameListener::start()
{
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_d->m_listen.m_host),
                                               m_d->m_listen.m_port);
        m_d->m_acceptor.open(endpoint.protocol());
        m_d->m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_d->m_acceptor.bind(endpoint);
        m_d->m_acceptor.listen();
    } catch (const std::exception &error) {
        m_d->m_lastError = error.what();
        return false;
    }
    m_d->acceptNext();
    return true;
}

const std::string &FrameListener::lastError() const
{
    return m_d->m_lastError;
}

} // namespace burdockhead
