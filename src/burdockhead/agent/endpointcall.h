#pragma once

#include <burdockhead/base/timepoint.h>

#include <string>

namespace burdockhead {

// An HTTP request from the agent to its endpoint.
struct EndpointCall
{
    std::string m_method;
    std::string m_path;
    std::string m_contentType;
    std::string m_body;
    std::string m_idempotencyKey; // Sent as Idempotency-Key; empty for none.
    TimePoint m_deadline;
    bool m_repeatable = true;
};

} // namespace burdockhead
