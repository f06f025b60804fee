#pragma once

#include <burdockhead/gateway/loadtable.h>
#include <burdockhead/gateway/peertable.h>
#include <burdockhead/net/eventloop.h>
#include <burdockhead/quarantine/promptguard.h>
#include <burdockhead/ratelimit/endpointrates.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// Encode and decode a datagram between gateways; none if the bytes are malformed.
std::string writePeerMessage(const std::vector<PeerRecord> &records);
std::optional<std::vector<PeerRecord>> readPeerMessage(std::string_view datagram);

// Exchanges the messages of a PeerTable, a LoadTable, a PromptGuard and EndpointRates over UDP.
// Those of the last three follow each heartbeat as datagrams of their own, which gateways that
// don't know them ignore.
class PeerLink
{
public:
    PeerLink(EventLoop &loop, PeerTable &table, LoadTable &loads, PromptGuard &promptGuard,
             EndpointRates &rates);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // Opens the port and starts sending heartbeats; false with the reason if the port can't be
    // opened.
    bool start(const SocketAddress &address, std::string &error);

    // Sends a heartbeat to every live gateway at once, such as before shutdown.
    void broadcast();

    // Tell what is known of crashes and quarantines, or of endpoints' rates, to many gateways at
    // once.
    void broadcastQuarantines();
    void broadcastRates();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
