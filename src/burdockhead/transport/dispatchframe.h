#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/idempotency/attemptid.h>
#include <burdockhead/observe/hybridtime.h>
#include <burdockhead/routing/requestattributes.h>

#include <string>

namespace burdockhead {

// Entry to agent: run this request. On the wire the deadline is the time left.
struct DispatchFrame
{
    AttemptId m_attempt;
    Incarnation m_boundTo; // The only run of the agent that may run the request.
    std::uint64_t m_configurationVersion = 0;
    RequestAttributes m_facts;
    std::string m_method;
    std::string m_path; // At the endpoint, with the query.
    std::string m_contentType;
    std::string m_body;
    bool m_onlyIfKnown = false; // Answer from the ledger; never start a run.
    HybridTime m_sentAt;        // The sender's hybrid clock, for the order of the time line.

    friend bool operator==(const DispatchFrame &, const DispatchFrame &) = default;
};

} // namespace burdockhead
