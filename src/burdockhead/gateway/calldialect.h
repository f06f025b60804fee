#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/net/httphead.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// What a client's request says of itself beside method, target and body.
struct CallFacts
{
    std::string m_id;                         // Empty: the request has none.
    std::optional<Milliseconds> m_timeLeft;   // How long the client waits.
    std::string m_credential;                 // Empty: none.
    std::optional<std::uint64_t> m_lastEvent; // A stream goes on after this event.
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_answerTokens = 0; // The client's estimate, or its maximum.

    friend bool operator==(const CallFacts &, const CallFacts &) = default;
};

// What a request to an endpoint says besides what the client said.
struct EndpointCallFacts
{
    EndpointName m_endpoint; // Any other endpoint refuses the request.
    WorkspaceName m_workspace;
    Milliseconds m_timeLeft{0};
    std::optional<std::uint64_t> m_lastEvent;

    friend bool operator==(const EndpointCallFacts &, const EndpointCallFacts &) = default;
};

// What an endpoint's answer says of itself.
struct AnswerFacts
{
    std::string m_id;             // Of the request that it answers; empty: not said.
    bool m_isNotRun = false;      // The endpoint did not run the request and will not.
    bool m_isSigned = false;      // Carries the endpoint's signature.
    bool m_isEncoded = false;     // The body is not as the endpoint made it.
    std::string m_weights;        // Version of the model's weights; empty: not said.
    std::string m_faultyEndpoint; // Whose failure the answer reports; empty: not said.

    friend bool operator==(const AnswerFacts &, const AnswerFacts &) = default;
};

// A whole answer of the gateway's own.
struct OwnAnswer
{
    int m_status = 200;
    HttpHeaders m_headers;
    std::string m_body;

    friend bool operator==(const OwnAnswer &, const OwnAnswer &) = default;
};

// How clients, endpoints and the gateway say things to one another in HTTP.
class CallDialect
{
public:
    virtual ~CallDialect() = default;

    virtual CallFacts readCall(const HttpHead &request) const = 0;

    // The headers of a request to an endpoint, without those of the connection and the length.
    virtual HttpHeaders endpointHeaders(const HttpHead &request,
                                        const EndpointCallFacts &facts) const = 0;

    virtual AnswerFacts readAnswer(const HttpHead &answer) const = 0;

    // The headers that tell a client when to come back.
    virtual HttpHeaders comeBackHeaders(Milliseconds after) const = 0;

    virtual bool asksReadiness(const HttpHead &request) const = 0;
    virtual bool asksAddresses(const HttpHead &request) const = 0;

    // Tells a client which addresses to use, and for how long.
    virtual OwnAnswer addressAnswer(const std::vector<SocketAddress> &addresses,
                                    Milliseconds holds) const = 0;
};

} // namespace burdockhead
