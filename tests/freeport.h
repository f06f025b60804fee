#pragma once

#include <burdockhead/base/socketaddress.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <unistd.h>

namespace burdockhead {

// A loopback address whose port was free a moment ago.
inline SocketAddress freeLoopbackAddress()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const bool bound =
        bind(descriptor, reinterpret_cast<sockaddr *>(&address), length) == 0
        && getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0;
    close(descriptor);
    return {"127.0.0.1", bound ? ntohs(address.sin_port) : std::uint16_t(0)};
}

} // namespace burdockhead
