#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/membership/exchange.h>

#include <string>

namespace burdockhead {

// A control message to send. The node gets it back with the reply or the failure.
struct OutgoingMessage
{
    ProcessName m_peer; // Empty for a seed whose name is not confirmed yet.
    SocketAddress m_address;
    ControlMessageType m_type = ControlMessageType::Exchange;
    std::string m_payload;
    TimePoint m_sentAt;
    TimePoint m_deadline;
};

} // namespace burdockhead
