#pragma once

#include <burdockhead/quarantine/crashreport.h>
#include <burdockhead/quarantine/promptpart.h>

#include <map>
#include <optional>

namespace burdockhead {

// Tells an endpoint that has crashed from one that has only cut its connections. When a rank of a
// group fails, the other ranks cut theirs too, and go on answering; an overloaded endpoint resets
// single ones. So broken connections count only if the endpoint is confirmed to be gone.
class CrashDetector
{
public:
    // Records that a request's connection broke before its response was whole. `suspects` are the
    // parts of its prompt, empty if the endpoint had been answering it for some time; the service
    // made its last progress at `lastProgressAt`.
    void recordBroken(const EndpointRun &endpoint, const GroupName &service,
                      const PromptParts &suspects, TimePoint lastProgressAt, TimePoint now);

    // Adds to a broken connection the fingerprints of the request on it and when that was sent.
    void recordRequest(const EndpointRun &endpoint, const PromptParts &fingerprints,
                       TimePoint sentAt);

    // Records a response of the endpoint.
    void recordAlive(const EndpointName &endpoint, TimePoint now);

    // Records that the endpoint is gone: it can't be connected to, another one blames it, or
    // another one has its address. Any run of it if the start is 0. Returns the report if its
    // connections broke just before.
    std::optional<CrashReport> recordGone(const EndpointRun &endpoint, TimePoint now);

private:
    struct Break
    {
        CrashReport m_report;
        TimePoint m_lastBrokenAt;
    };

    std::map<EndpointName, Break> m_breaks;
};

} // namespace burdockhead
