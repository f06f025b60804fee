#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/random.h>
#include <burdockhead/configuration/configuration.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/routing/requestattributes.h>

#include <optional>
#include <string>

namespace burdockhead {

// The kind of destination of a request.
enum class CallerRequestType {
    Model,   // A chat completion by a model.
    Service, // A call to a service without a model.
};

// A caller's request, validated against the configuration.
struct CallerRequest
{
    CallerRequestType m_type = CallerRequestType::Model;
    RequestAttributes m_attributes;
    bool m_wantsStream = false; // The caller requested server-sent events.
    std::string m_method;
    std::string m_path; // Path and query to request at the endpoint.
    std::string m_contentType;
    std::string m_body;
};

// Parses a request under /v1/chat/completions or /v1/services/. Returns none and sets the
// failure when it is malformed or names something missing from the configuration.
std::optional<CallerRequest> parseCallerRequest(const HttpRequest &request,
                                                const Configuration &configuration, TimePoint now,
                                                Random &random, Failure &failure);

// Returns the body of a model request that resumes after the tokens already sent.
std::string resumedBody(const std::string &body, std::uint64_t tokensSent);

} // namespace burdockhead
