#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>

namespace burdockhead {

// A process of the system and the address at which it serves operators over HTTP.
struct MemberAddress
{
    ProcessName m_name;
    SocketAddress m_operatorAddress;

    friend bool operator==(const MemberAddress &, const MemberAddress &) = default;
};

} // namespace burdockhead
