#pragma once

#include <burdockhead/base/socketaddress.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <unistd.h>

namespace burdockhead {

// Hands out loopback ports below the system's range for outgoing connections, so that no
// such connection takes a port between its choice and its use. Test programs that run side
// by side keep apart by blocks: holding the first port of a block reserves the others.
class FreePorts
{
public:
    static constexpr std::uint16_t firstBlock = 10000;
    static constexpr std::uint16_t lastBlock = 32000;
    static constexpr std::uint16_t blockSize = 200;

    // The next port of this program's blocks that nobody listens on; 0 when there is none.
    std::uint16_t next()
    {
        while (m_block != 0 || reserveBlock()) {
            while (m_used + 1 < blockSize) {
                const auto port = static_cast<std::uint16_t>(m_block + ++m_used);
                const int probe = bound(port);
                if (probe < 0)
                    continue;
                close(probe);
                return port;
            }
            m_block = 0;
        }
        return 0;
    }

private:
    // Binds the port; a negative number when that fails.
    static int bound(std::uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0)
            return descriptor;
        close(descriptor);
        return -1;
    }

    // The descriptor is kept open on purpose until the program ends.
    bool reserveBlock()
    {
        for (; m_nextBlock < lastBlock; m_nextBlock += blockSize) {
            if (bound(m_nextBlock) < 0)
                continue;
            m_block = m_nextBlock;
            m_nextBlock += blockSize;
            m_used = 0;
            return true;
        }
        return false;
    }

    std::uint16_t m_nextBlock = firstBlock;
    std::uint16_t m_block = 0;
    std::uint16_t m_used = 0;
};

// A loopback address that nobody listens on.
inline SocketAddress freeLoopbackAddress()
{
    static FreePorts ports;
    return {"127.0.0.1", ports.next()};
}

} // namespace burdockhead
