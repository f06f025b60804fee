#include <burdockhead/entry/agentlinks.h>
#include <burdockhead/transport/frameconnection.h>
#include <burdockhead/transport/workerpool.h>

#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace burdockhead {

namespace {

constexpr Milliseconds connectTimeout{500};

// The link to one agent and the attempts that it carries.
struct Link
{
    FrameConnectionPointer m_connection; // Null until the connection is established.
    std::vector<Frame> m_unsentFrames;   // Queued until the connection is established.
    std::unordered_map<AttemptId, AttemptHandlers> m_handlers;
};

std::optional<AttemptId> attemptIdOf(const Frame &frame)
{
    return std::visit(
        [](const auto &body) -> std::optional<AttemptId> {
            if constexpr (requires { body.m_attempt; })
                return body.m_attempt;
            else
                return std::nullopt;
        },
        frame);
}

} // namespace

struct AgentLinks::Private : public std::enable_shared_from_this<Private>
{
    Private(WorkerPool &pool, HelloFrame hello)
        : m_pool(pool)
        , m_hello(std::move(hello))
    {}

    void openLink(const SocketAddress &address);
    void onConnected(const SocketAddress &address, const FrameConnectionPointer &connection);
    void onFrame(const SocketAddress &address, const FrameConnectionPointer &source,
                 const Frame &frame);
    void onLost(const SocketAddress &address, const FrameConnectionPointer &source, LinkLoss loss);

    WorkerPool &m_pool;
    HelloFrame m_hello;
    mutable std::mutex m_mutex;
    std::map<SocketAddress, Link> m_links;
    bool m_isClosing = false;
};

void AgentLinks::Private::openLink(const SocketAddress &address)
{
    connectFrames(m_pool, address, Clock::now() + connectTimeout,
                  [weak = weak_from_this(), address](const FrameConnectionPointer &connection) {
                      if (const auto self = weak.lock())
                          self->onConnected(address, connection);
                      else if (connection)
                          connection->close();
                  });
}

void AgentLinks::Private::onConnected(const SocketAddress &address,
                                      const FrameConnectionPointer &connection)
{
    if (!connection) {
        onLost(address, nullptr, LinkLoss::NeverConnected);
        return;
    }
    connection->start(
        [weak = weak_from_this(), address](const auto &source, const Frame &frame) {
            if (const auto self = weak.lock())
                self->onFrame(address, source, frame);
        },
        [weak = weak_from_this(), address](const auto &source) {
            if (const auto self = weak.lock())
                self->onLost(address, source, LinkLoss::Broken);
        });
    const std::lock_guard lock(m_mutex);
    Link &link = m_links[address];
    link.m_connection = connection;
    connection->send(m_hello);
    for (const Frame &frame : link.m_unsentFrames)
        connection->send(frame);
    link.m_unsentFrames.clear();
    if (m_isClosing)
        connection->close();
}

void AgentLinks::Private::onFrame(const SocketAddress &address,
                                  const FrameConnectionPointer &source, const Frame &frame)
{
    const auto attempt = attemptIdOf(frame);
    if (!attempt)
        return;
    std::function<void(const Frame &)> frameHandler;
    {
        const std::lock_guard lock(m_mutex);
        const auto link = m_links.find(address);
        if (link == m_links.end() || link->second.m_connection != source)
            return;
        const auto found = link->second.m_handlers.find(*attempt);
        if (found == link->second.m_handlers.end())
            return;
        frameHandler = found->second.m_onFrame;
    }
    frameHandler(frame);
}

void AgentLinks::Private::onLost(const SocketAddress &address, const FrameConnectionPointer &source,
                                 LinkLoss loss)
{
    std::unordered_map<AttemptId, AttemptHandlers> handlersByAttempt;
    {
        const std::lock_guard lock(m_mutex);
        const auto link = m_links.find(address);
        if (link == m_links.end() || link->second.m_connection != source)
            return;
        handlersByAttempt.swap(link->second.m_handlers);
        m_links.erase(link);
    }
    for (const auto &[attempt, handlers] : handlersByAttempt)
        handlers.m_onLoss(loss);
}

AgentLinks::AgentLinks(WorkerPool &pool, HelloFrame hello)
    : m_d(std::make_shared<Private>(pool, std::move(hello)))
{}

AgentLinks::~AgentLinks()
{
    const std::lock_guard lock(m_d->m_mutex);
    m_d->m_isClosing = true;
    for (auto &[address, link] : m_d->m_links) {
        link.m_handlers.clear();
        if (link.m_connection)
            link.m_connection->close();
    }
}

void AgentLinks::dispatch(const SocketAddress &address, DispatchFrame frame,
                          AttemptHandlers handlers)
{
    bool mustOpenLink = false;
    {
        const std::lock_guard lock(m_d->m_mutex);
        const auto [found, inserted] = m_d->m_links.try_emplace(address);
        Link &link = found->second;
        link.m_handlers.emplace(frame.m_attempt, std::move(handlers));
        if (link.m_connection)
            link.m_connection->send(frame);
        else
            link.m_unsentFrames.emplace_back(std::move(frame));
        mustOpenLink = inserted;
    }
    if (mustOpenLink)
        m_d->openLink(address);
}

void AgentLinks::cancel(const SocketAddress &address, const AttemptId &attempt)
{
    const std::lock_guard lock(m_d->m_mutex);
    const auto found = m_d->m_links.find(address);
    if (found == m_d->m_links.end())
        return;
    Link &link = found->second;
    link.m_handlers.erase(attempt);
    if (link.m_connection)
        link.m_connection->send(CancelFrame{attempt});
    else
        link.m_unsentFrames.emplace_back(CancelFrame{attempt});
}

void AgentLinks::unsubscribe(const SocketAddress &address, const AttemptId &attempt)
{
    const std::lock_guard lock(m_d->m_mutex);
    const auto found = m_d->m_links.find(address);
    if (found != m_d->m_links.end())
        found->second.m_handlers.erase(attempt);
}

std::size_t AgentLinks::openLinkCount() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::size_t openCount = 0;
    for (const auto &[address, link] : m_d->m_links)
        openCount += link.m_connection ? 1 : 0;
    return openCount;
}

} // namespace burdockhead
