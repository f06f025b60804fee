#pragma once

#include <burdockhead/transport/framebudget.h>
#include <burdockhead/transport/frameconnection.h>

#include <array>
#include <asio.hpp>
#include <atomic>
#include <deque>

namespace burdockhead {

// The part of a connection that needs Asio. All but the counter belongs to the strand.
struct FrameConnection::Private
{
    explicit Private(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
        , m_strand(asio::make_strand(m_socket.get_executor()))
        , m_timer(m_strand)
    {}

    asio::ip::tcp::socket m_socket;
    asio::strand<asio::any_io_executor> m_strand;
    asio::steady_timer m_timer;            // Ends a wait for room, or for the first frame.
    std::shared_ptr<FrameBudget> m_budget; // Of accepted connections.
    bool m_hasReceivedFrame = false;
    FrameHandler m_onFrame;
    ClosedHandler m_onClosed;
    std::array<unsigned char, 4> m_length = {};
    std::string m_body;
    std::deque<std::string> m_queue;
    std::string m_writing;
    bool m_busy = false;
    bool m_closed = false;
    std::atomic<std::size_t> m_unsent = 0;
};

} // namespace burdockhead
