#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>

namespace burdockhead {

// A process of the system and where it answers operators.
struct MemberAddress
{
    ProcessName m_name;
    SocketAddress m_operators;

    friend bool operator==(const MemberAddress &, const MemberAddress &) = default;
};

} // namespace burdockhead
