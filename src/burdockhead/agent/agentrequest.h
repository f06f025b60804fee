#pragma once

#include <burdockhead/transport/frame.h>
#include <burdockhead/transport/frameconnection.h>

#include <string>
#include <vector>

namespace burdockhead {

// An attempt that is to receive a response, and the connection that it arrived on.
struct ResponseSubscriber
{
    FrameConnectionPointer m_connection;
    AttemptId m_attempt;
};

// A request at an agent, from its admission to its end.
struct AgentRequest
{
    RequestId m_id; // Assigned by the agent; differs between attempts at one request.
    DispatchFrame m_dispatch;
    std::vector<ResponseSubscriber> m_subscribers;
    bool m_isRunning = false;
    bool m_hasKey = false;      // Its response is kept, and it is not cancelled once it runs.
    std::uint64_t m_callId = 0; // Of the endpoint client.
    HeadFrame m_responseHead;
    bool m_hasHead = false;
    std::uint64_t m_bodyBytes = 0; // Bytes of the response body received so far.
    std::string m_body;            // Kept only for requests with a key.
    bool m_isCancelled = false;
    bool m_hasEnded = false; // The call to the endpoint has ended.
};

} // namespace burdockhead
