#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/membership/exchange.h>

#include <string>

namespace burdockhead {

// A control message that a node wants sent. Its answer or failure is reported back with it.
struct OutgoingMessage
{
    ProcessName m_peer; // Empty for a seed whose name is not confirmed yet.
    SocketAddress m_address;
    ControlType m_type = ControlType::Exchange;
    std::string m_payload;
    TimePoint m_askedAt;
    TimePoint m_deadline;
};

} // namespace burdockhead
