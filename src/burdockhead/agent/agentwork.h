#pragma once

#include <burdockhead/transport/frame.h>
#include <burdockhead/transport/frameconnection.h>

#include <string>
#include <vector>

namespace burdockhead {

// An attempt that waits for a request's answer, and the link it came over.
struct AnswerSubscriber
{
    FrameConnectionPointer m_connection;
    AttemptId m_attempt;
};

// One request at an agent from its admission to its end.
struct AgentWork
{
    RequestId m_id; // The agent's own: two attempts at one request are two pieces of work.
    DispatchFrame m_request;
    std::vector<AnswerSubscriber> m_subscribers;
    bool m_running = false;
    bool m_keyed = false;     // Its answer is kept, and it is not cancelled once it runs.
    std::uint64_t m_call = 0; // At the endpoint client.
    HeadFrame m_head;
    bool m_headSeen = false;
    std::uint64_t m_length = 0; // Bytes of the body so far.
    std::string m_body;         // Kept for keyed requests only.
    bool m_cancelled = false;
    bool m_ended = false; // At the endpoint.
};

} // namespace burdockhead
