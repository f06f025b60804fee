#pragma once

#include <cstdint>

namespace burdockhead {

// Control traffic of one process since its start. Byte counts include the messages and nng's
// framing but not TCP and IP headers.
struct MembershipCounters
{
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_messagesSent = 0;
    std::uint64_t m_messagesReceived = 0;
    std::uint64_t m_failedCalls = 0;
    std::uint64_t m_platformCalls = 0;
};

} // namespace burdockhead
