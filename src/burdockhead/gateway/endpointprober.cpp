#include <burdockhead/gateway/endpointprober.h>

#include <utility>

namespace burdockhead {

namespace {

// Some round trips within a region.
constexpr Milliseconds probeTimeout{400};

} // namespace

EndpointProber::EndpointProber(HttpClientPool &client,
                               std::function<void(const EndpointRun &)> onGone)
    : m_client(client)
    , m_onGone(std::move(onGone))
{}

void EndpointProber::probe(const EndpointRun &endpoint, const SocketAddress &address,
                           std::function<void()> onDone)
{
    const auto [waiting, isFirst] = m_waiting.try_emplace(endpoint);
    waiting->second.push_back(std::move(onDone));
    if (!isFirst)
        return;
    m_client.connect(address, Clock::now() + probeTimeout,
                     [this, endpoint](bool isConnected) { finish(endpoint, !isConnected); });
}

void EndpointProber::finish(const EndpointRun &endpoint, bool isGone)
{
    const auto waiting = m_waiting.extract(endpoint);
    if (isGone)
        m_onGone(endpoint);
    for (const auto &onDone : waiting.mapped())
        onDone();
}

} // namespace burdockhead
