#include <burdockhead/transport/frameconnectionprivate.h>
#include <burdockhead/transport/framelistener.h>
#include <burdockhead/transport/workerpool.h>

namespace burdockhead {

struct FrameListener::Private : public std::enable_shared_from_this<Private>
{
    Private(asio::io_context &context, SocketAddress listen,
            std::function<void(FrameConnectionPointer)> onConnection)
        : m_context(context)
        , m_acceptor(context)
        , m_listen(std::move(listen))
        , m_onConnection(std::move(onConnection))
    {}

    void acceptNext();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    SocketAddress m_listen;
    std::function<void(FrameConnectionPointer)> m_onConnection;
    std::string m_lastError;
};

void FrameListener::Private::acceptNext()
{
    m_acceptor.async_accept(m_context, [self = shared_from_this()](const asio::error_code &error,
                                                                   asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (!error)
            self->m_onConnection(std::make_shared<FrameConnection>(
                std::make_unique<FrameConnection::Private>(std::move(socket))));
        self->acceptNext();
    });
}

FrameListener::FrameListener(WorkerPool &pool, SocketAddress listen,
                             std::function<void(FrameConnectionPointer)> onConnection)
    : m_d(std::make_shared<Private>(*static_cast<asio::io_context *>(pool.context()),
                                    std::move(listen), std::move(onConnection)))
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
