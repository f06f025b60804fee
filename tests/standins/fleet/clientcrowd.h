#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/net/eventloop.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace burdockhead::test {

// What each client of a crowd sends.
struct CrowdScript
{
    std::string m_start;      // Once.
    std::string m_piece;      // So many times after it.
    std::size_t m_pieces = 0; // None if all is said with the start.
};

// Clients that all connect at once, send what the script says as fast as the server takes it, read
// nothing, and then stay connected until the crowd goes.
class ClientCrowd
{
public:
    ClientCrowd(EventLoop &loop, const SocketAddress &server, std::size_t clients,
                const CrowdScript &script);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    // Returns whether each client has sent everything or has lost its connection.
    bool hasSettled() const;

private:
    struct Client;

    std::vector<std::shared_ptr<Client>> m_clients;
};

// A body in chunks of that many bytes each, as one piece of about 64 KiB.
std::string chunkedPiece(std::size_t chunkBytes);

// Lines of a head that are as short as possible, so many bytes altogether.
std::string shortHeaderLines(std::size_t bytes);

} // namespace burdockhead::test
