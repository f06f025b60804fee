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
struct CallAttributes
{
    std::string m_id;                            // Empty: the request has none.
    std::optional<Milliseconds> m_remainingTime; // How long the client waits.
    std::string m_credential;                    // Empty: none.
    std::optional<std::uint64_t> m_lastEventId;  // A stream goes on after this event.
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_outputTokens = 0; // The client's estimate, or its maximum.

    friend bool operator==(const CallAttributes &, const CallAttributes &) = default;
};

// What a request to an endpoint says besides what the client said.
struct EndpointCallAttributes
{
    EndpointName m_endpoint; // Any other endpoint refuses the request.
    WorkspaceName m_workspace;
    Milliseconds m_remainingTime{0};
    std::optional<std::uint64_t> m_lastEventId;

    friend bool operator==(const EndpointCallAttributes &,
                           const EndpointCallAttributes &) = default;
};

// What an endpoint's answer says of itself.
struct ResponseAttributes
{
    std::string m_requestId;      // Of the request that it answers; empty: not said.
    bool m_isNotRun = false;      // The endpoint did not run the request and will not.
    bool m_isSigned = false;      // Carries the endpoint's signature.
    bool m_isEncoded = false;     // The body is not as the endpoint made it.
    std::string m_weightsVersion; // Version of the model's weights; empty: not said.
    std::string m_faultyEndpoint; // Whose failure the answer reports; empty: not said.

    friend bool operator==(const ResponseAttributes &, const ResponseAttributes &) = default;
};

// A whole answer of the gateway's own.
struct GatewayResponse
{
    int m_status = 200;
    HttpHeaders m_headers;
    std::string m_body;

    friend bool operator==(const GatewayResponse &, const GatewayResponse &) = default;
};

// How clients, endpoints and the gateway say things to one another in HTTP.
class CallProtocol
{
public:
    virtual ~CallProtocol() = default;

    virtual CallAttributes parseRequest(const HttpHead &request) const = 0;

    // The headers of a request to an endpoint, without those of the connection and the length.
    virtual HttpHeaders endpointHeaders(const HttpHead &request,
                                        const EndpointCallAttributes &facts) const = 0;

    virtual ResponseAttributes parseResponse(const HttpHead &answer) const = 0;

    // The headers that tell a client when to come back.
    virtual HttpHeaders retryAfterHeaders(Milliseconds after) const = 0;

    virtual bool isReadinessRequest(const HttpHead &request) const = 0;
    virtual bool isAddressRequest(const HttpHead &request) const = 0;

    // Tells a client which addresses to use, and for how long.
    virtual GatewayResponse addressResponse(const std::vector<SocketAddress> &addresses,
                                            Milliseconds holds) const = 0;
};

} // namespace burdockhead
