#include "clientcrowd.h"

#include <burdockhead/net/httpwriting.h>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace burdockhead::test {

namespace {

constexpr std::size_t pieceBytes = 65536;

} // namespace

struct ClientCrowd::Client : std::enable_shared_from_this<Client>
{
    Client(EventLoop &loop, std::shared_ptr<const CrowdScript> script)
        : m_socket(loop.context())
        , m_script(std::move(script))
    {}

    void connect(const SocketAddress &server)
    {
        m_socket.async_connect({asio::ip::make_address(server.m_host), server.m_port},
                               [self = shared_from_this()](const asio::error_code &error) {
                                   if (error)
                                       self->m_isDone = true;
                                   else
                                       self->send(self->m_script->m_start);
                               });
    }

    void send(const std::string &bytes)
    {
        asio::async_write(m_socket, asio::buffer(bytes),
                          [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                              self->m_isDone = error || self->m_sent == self->m_script->m_pieces;
                              if (self->m_isDone)
                                  return;
                              ++self->m_sent;
                              self->send(self->m_script->m_piece);
                          });
    }

    asio::ip::tcp::socket m_socket;
    const std::shared_ptr<const CrowdScript> m_script;
    std::size_t m_sent = 0;
    bool m_isDone = false;
};

ClientCrowd::ClientCrowd(EventLoop &loop, const SocketAddress &server, std::size_t clients,
                         const CrowdScript &script)
{
    const auto shared = std::make_shared<const CrowdScript>(script);
    for (std::size_t number = 0; number < clients; ++number) {
        m_clients.push_back(std::make_shared<Client>(loop, shared));
        m_clients.back()->connect(server);
    }
}

ClientCrowd::~ClientCrowd()
{
    asio::error_code ignored; // Closing frees the descriptor whatever it reports.
    for (const auto &client : m_clients)
        client->m_socket.close(ignored);
}

bool ClientCrowd::hasSettled() const
{
    return std::all_of(m_clients.begin(), m_clients.end(),
                       [](const auto &client) { return client->m_isDone; });
}

std::string chunkedPiece(std::size_t chunkBytes)
{
    const std::string part = chunk(std::string(chunkBytes, 'x'));
    std::string piece;
    while (piece.size() + part.size() <= pieceBytes || piece.empty())
        piece += part;
    return piece;
}

std::string shortHeaderLines(std::size_t bytes)
{
    std::string lines;
    while (lines.size() < bytes)
        lines += "a:\r\n";
    return lines;
}

} // namespace burdockhead::test
