#pragma once

#include <burdockhead/base/endpointrun.h>
#include <burdockhead/gateway/calltimes.h>
#include <burdockhead/quarantine/promptguard.h>

namespace burdockhead {

// Tells the PromptGuard what happens to one request at endpoints, and what it says of the request.
class CallGuard
{
public:
    explicit CallGuard(PromptGuard &promptGuard)
        : m_promptGuard(promptGuard)
    {}
    ~CallGuard() { endAttempt(); }
    CallGuard(const CallGuard &) = delete;
    CallGuard &operator=(const CallGuard &) = delete;

    // Sets what the request consists of, once its service is known, and records its arrival. The
    // first of the fingerprints is the request's own.
    void identify(const GroupName &service, const PromptParts &promptParts,
                  const PromptParts &fingerprints);
    const PromptParts &fingerprints() const { return m_fingerprints; }

    PromptVerdict judge(TimePoint now) const;

    // Returns the identifier of what is in quarantine, if judge() refuses the request; empty if it
    // isn't known.
    std::string quarantinedId(TimePoint now) const;

    // Returns whether the request may crash the endpoint that gets it, so that it is sent only
    // while the service has another one.
    bool needsSpareEndpoint(TimePoint now) const
    {
        return m_promptGuard.needsSpareEndpoint(m_fingerprints, now);
    }

    // Record that the request is sent to the endpoint, and that it isn't there any more.
    void beginAttempt(const EndpointRun &endpoint, TimePoint now);
    void endAttempt();

    // Record what happens at that endpoint: a response of it, an answer that grows or is whole, a
    // connection that breaks before that, or one that can't be made.
    void recordResponse(TimePoint now);
    void recordEvent(TimePoint now);
    void recordAnswer(const CallTimes &times, bool isComplete, TimePoint now);
    void recordBroken(TimePoint now);
    void recordUnreachable(TimePoint now);

    // Records that the endpoint blames another one.
    void recordBlame(const EndpointName &faulty, TimePoint now);

private:
    PromptGuard &m_promptGuard;
    GroupName m_service;
    PromptParts m_promptParts;
    PromptParts m_fingerprints;
    PromptParts m_allParts; // The prompt's, and the whole request.
    EndpointRun m_endpoint;
    TimePoint m_sentAt;
    bool m_isAtEndpoint = false;
    bool m_isSound = false; // The endpoint has been answering the request for long enough.
};

} // namespace burdockhead
