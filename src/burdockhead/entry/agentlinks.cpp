#include <burdockhead/entry/agentlinks.h>
#include <burdockhead/transport/frameconnection.h>
#include <burdockhead/transport/workerpool.h>

#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace burdockhead {

namespace {

constexpr Milliseconds connectLimit{500};

// One agent's link and the attempts on it.
struct Link
{
    FrameConnectionPointer m_connection; // Null while connecting.
    std::vector<Frame> m_waiting;        // To be sent once connected.
    std::unordered_map<AttemptId, AttemptSink> m_sinks;
};

std::optional<AttemptId> attemptOf(const Frame &frame)
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
    Private(WorkerPool &pool, HelloFrame own)
        : m_pool(pool)
        , m_own(std::move(own))
    {}

    void open(const SocketAddress &address);
    void connected(const SocketAddress &address, const FrameConnectionPointer &connection);
    void deliver(const SocketAddress &address, const FrameConnectionPointer &from,
                 const Frame &frame);
    void lost(const SocketAddress &address, const FrameConnectionPointer &from, LinkLoss loss);

    WorkerPool &m_pool;
    HelloFrame m_own;
    mutable std::mutex m_mutex;
    std::map<SocketAddress, Link> m_links;
    bool m_closing = false;
};

void AgentLinks::Private::open(const SocketAddress &address)
{
    connectFrames(m_pool, address, Clock::now() + connectLimit,
                  [self = weak_from_this(), address](const FrameConnectionPointer &connection) {
                      if (const auto strong = self.lock())
                          strong->connected(address, connection);
                      else if (connection)
                          connection->close();
                  });
}

void AgentLinks::Private::connected(const SocketAddress &address,
                                    const FrameConnectionPointer &connection)
{
    if (!connection) {
        lost(address, nullptr, LinkLoss::NeverConnected);
        return;
    }
    connection->start(
        [self = weak_from_this(), address](const auto &from, const Frame &frame) {
            if (const auto strong = self.lock())
                strong->deliver(address, from, frame);
        },
        [self = weak_from_this(), address](const auto &from) {
            if (const auto strong = self.lock())
                strong->lost(address, from, LinkLoss::Broken);
        });
    const std::lock_guard lock(m_mutex);
    Link &link = m_links[address];
    link.m_connection = connection;
    connection->send(m_own);
    for (const Frame &frame : link.m_waiting)
        connection->send(frame);
    link.m_waiting.clear();
    if (m_closing)
        connection->close();
}

void AgentLinks::Private::deliver(const SocketAddress &address, const FrameConnectionPointer &from,
                                  const Frame &frame)
{
    const auto attempt = attemptOf(frame);
    if (!attempt)
        return;
    std::function<void(const Frame &)> sink;
    {
        const std::lock_guard lock(m_mutex);
        const auto link = m_links.find(address);
        if (link == m_links.end() || link->second.m_connection != from)
            return;
        const auto found = link->second.m_sinks.find(*attempt);
        if (found == link->second.m_sinks.end())
            return;
        sink = found->second.m_onFrame;
    }
    sink(frame);
}

void AgentLinks::Private::lost(const SocketAddress &address, const FrameConnectionPointer &from,
                               LinkLoss loss)
{
    std::unordered_map<AttemptId, AttemptSink> sinks;
    {
        const std::lock_guard lock(m_mutex);
        const auto link = m_links.find(address);
        if (link == m_links.end() || link->second.m_connection != from)
            return;
        sinks.swap(link->second.m_sinks);
        m_links.erase(link);
    }
    for (const auto &[attempt, sink] : sinks)
        sink.m_onLoss(loss);
}

AgentLinks::AgentLinks(WorkerPool &pool, HelloFrame own)
    : m_d(std::make_shared<Private>(pool, std::move(own)))
{}

AgentLinks::~AgentLinks()
{
    const std::lock_guard lock(m_d->m_mutex);
    m_d->m_closing = true;
    for (auto &[address, link] : m_d->m_links) {
        link.m_sinks.clear();
        if (link.m_connection)
            link.m_connection->close();
    }
}

void AgentLinks::dispatch(const SocketAddress &address, DispatchFrame frame, AttemptSink sink)
{
    bool mustOpen = false;
    {
        const std::lock_guard lock(m_d->m_mutex);
        const auto [found, inserted] = m_d->m_links.try_emplace(address);
        Link &link = found->second;
        link.m_sinks.emplace(frame.m_attempt, std::move(sink));
        if (link.m_connection)
            link.m_connection->send(frame);
        else
            link.m_waiting.emplace_back(std::move(frame));
        mustOpen = inserted;
    }
    if (mustOpen)
        m_d->open(address);
}

void AgentLinks::cancel(const SocketAddress &address, const AttemptId &attempt)
{
    const std::lock_guard lock(m_d->m_mutex);
    const auto found = m_d->m_links.find(address);
    if (found == m_d->m_links.end())
        return;
    Link &link = found->second;
    link.m_sinks.erase(attempt);
    if (link.m_connection)
        link.m_connection->send(CancelFrame{attempt});
    else
        link.m_waiting.emplace_back(CancelFrame{attempt});
}

void AgentLinks::forget(const SocketAddress &address, const AttemptId &attempt)
{
    const std::lock_guard lock(m_d->m_mutex);
    const auto found = m_d->m_links.find(address);
    if (found != m_d->m_links.end())
        found->second.m_sinks.erase(attempt);
}

std::size_t AgentLinks::openLinks() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::size_t open = 0;
    for (const auto &[address, link] : m_d->m_links)
        open += link.m_connection ? 1 : 0;
    return open;
}

} // namespace burdockhead
