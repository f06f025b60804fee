#pragma once

#include <burdockhead/gateway/peertable.h>
#include <burdockhead/net/eventloop.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// A message between gateways as one datagram, and back; none on any other bytes.
std::string writePeerMessage(const std::vector<PeerRecord> &records);
std::optional<std::vector<PeerRecord>> readPeerMessage(std::string_view datagram);

// Carries a PeerTable's messages over UDP.
class PeerLink
{
public:
    PeerLink(EventLoop &loop, PeerTable &table);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // Opens the port and begins the beats; false with the reason when it can't be opened.
    bool start(const SocketAddress &address, std::string &error);

    // Tells every gateway that lives at once, as before a stop.
    void broadcast();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
