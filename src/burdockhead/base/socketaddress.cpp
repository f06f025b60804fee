#include <burdockhead/base/socketaddress.h>

#include <arpa/inet.h>

#include <charconv>

namespace burdockhead {

namespace {

bool isIpNumber(const std::string &host)
{
    in6_addr buffer = {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &buffer) == 1;
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1;
}

} // namespace

std::optional<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    SocketAddress address;
    address.m_host = std::string(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    const char *end = port.data() + port.size();
    const auto result = std::from_chars(port.data(), end, address.m_port);
    if (result.ec != std::errc() || result.ptr != end || address.m_port == 0)
        return std::nullopt;
    if (!isIpNumber(address.m_host))
        return std::nullopt;
    return address;
}

std::string SocketAddress::toString() const
{
    return m_host + ":" + std::to_string(m_port);
}

} // namespace burdockhead
