#pragma once

#include <cstdint>

namespace burdockhead {

// Control traffic of one process since its start. Bytes are those of the messages with
// nng's framing, without the headers of TCP and IP.
struct MembershipCounters
{
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_messagesSent = 0;
    std::uint64_t m_messagesReceived = 0;
    std::uint64_t m_callsFailed = 0;
    std::uint64_t m_platformCalls = 0;
};

} // namespace burdockhead
