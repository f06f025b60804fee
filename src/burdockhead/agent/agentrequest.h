#pragma once

#include <burdockhead/transport/frame.h>
#include <burdockhead/transport/frameconnection.h>

#include <string>
#include <vector>

namespace burdockhead {

// An attempt that waits for a request's answer, and the link it came over.
struct ResponseSubscriber
{
    FrameConnectionPointer m_connection;
    AttemptId m_attempt;
};

// One request at an agent from its admission to its end.
struct AgentRequest
{
    RequestId m_id; // The agent's own: two attempts at one request are two pieces of work.
    DispatchFrame m_dispatch;
    std::vector<ResponseSubscriber> m_subscribers;
    bool m_isRunning = false;
    bool m_hasKey = false;      // Its answer is kept, and it is not cancelled once it runs.
    std::uint64_t m_callId = 0; // At the endpoint client.
    HeadFrame m_responseHead;
    bool m_hasHead = false;
    std::uint64_t m_bodyBytes = 0; // Bytes of the body so far.
    std::string m_body;            // Kept for keyed requests only.
    bool m_isCancelled = false;
    bool m_hasEnded = false; // At the endpoint.
};

} // namespace burdockhead
