#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// An IP number and a port.
struct SocketAddress
{
    std::string m_host;
    std::uint16_t m_port = 0;

    // Reads "HOST:PORT", where HOST is an IPv4 number or a bracketed IPv6 number and PORT
    // is 1 to 65535; none on any other text.
    static std::optional<SocketAddress> parse(std::string_view text);

    // The address as "HOST:PORT".
    std::string toString() const;

    friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
};

} // namespace burdockhead
