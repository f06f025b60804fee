#include <burdockhead/base/erroranswer.h>
#include <burdockhead/entry/errorresponse.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr long millisecondsPerSecond = 1000;
constexpr Milliseconds defaultRetryDelay{1000};

long retryAfterMilliseconds(const CallerError &error, TimePoint now)
{
    return static_cast<long>(
        millisecondsUntil(error.m_retryAfter.value_or(now + defaultRetryDelay), now));
}

} // namespace

std::string errorJson(const CallerError &error, TimePoint now)
{
    const ErrorAnswer &description = answerFor(error.m_kind);
    nlohmann::json body;
    body["kind"] = description.m_name;
    body["reason"] = error.m_reason.empty() ? description.m_text : error.m_reason;
    body["run_state"] = toString(error.m_runState);
    if (!error.m_requestId.empty())
        body["request_id"] = error.m_requestId;
    if (description.m_tellsWhenToComeBack)
        body["retry_after_ms"] = retryAfterMilliseconds(error, now);
    const auto replaceInvalidUtf8 = nlohmann::json::error_handler_t::replace;
    return nlohmann::json{{"error", body}}.dump(-1, ' ', false, replaceInvalidUtf8);
}

HttpResponse errorResponse(const CallerError &error, TimePoint now)
{
    const ErrorAnswer &description = answerFor(error.m_kind);
    HttpResponse response;
    response.m_status = description.m_httpStatus;
    response.m_headers.push_back({"Content-Type", "application/json"});
    if (description.m_tellsWhenToComeBack) {
        const long seconds = (retryAfterMilliseconds(error, now) + millisecondsPerSecond - 1)
                             / millisecondsPerSecond;
        response.m_headers.push_back({"Retry-After", std::to_string(std::max(1L, seconds))});
    }
    response.m_body = errorJson(error, now);
    return response;
}

} // namespace burdockhead
