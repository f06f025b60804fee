#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/random.h>
#include <burdockhead/configuration/configuration.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/routing/requestattributes.h>

#include <optional>
#include <string>

namespace burdockhead {

// Whom a request is for.
enum class CallerRequestType {
    Model,   // A chat completion.
    Service, // A call to a plain service.
};

// A caller's request, checked against the configuration.
struct CallerRequest
{
    CallerRequestType m_type = CallerRequestType::Model;
    RequestAttributes m_facts;
    bool m_stream = false; // The caller wants server-sent events.
    std::string m_method;
    std::string m_path; // At the endpoint, with the query.
    std::string m_contentType;
    std::string m_body;
};

// Reads a request under /v1/chat/completions or /v1/services/. None when it is malformed or
// names something that the configuration does not have; the failure says which.
std::optional<CallerRequest> parseCallerRequest(const HttpRequest &request,
                                                const Configuration &configuration, TimePoint now,
                                                Random &random, Failure &failure);

// The body of a model request that goes on after tokens that were already sent.
std::string resumedBody(const std::string &body, std::uint64_t tokensSent);

} // namespace burdockhead
