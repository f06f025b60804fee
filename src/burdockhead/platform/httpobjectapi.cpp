#include <burdockhead/http/httpclient.h>
#include <burdockhead/net/httpwriting.h>
#include <burdockhead/platform/httpobjectapi.h>
#include <burdockhead/platform/platformtext.h>

#include <algorithm>
#include <atomic>
#include <charconv>

namespace burdockhead {

namespace {

constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 412;

constexpr const char *eraHeader = "Platform-Era";

std::uint64_t eraOf(const HttpResponse &response)
{
    std::uint64_t era = 0;
    for (const HttpHeader &header : response.m_headers) {
        if (isSameHeaderName(header.m_name, eraHeader))
            std::from_chars(header.m_value.data(), header.m_value.data() + header.m_value.size(),
                            era);
    }
    return era;
}

// A watch is answered this long before its deadline, so that the answer still arrives.
constexpr Milliseconds answerMargin(200);

} // namespace

struct HttpObjectApi::Private
{
    std::vector<std::string> m_baseUrls;
    std::atomic<std::size_t> m_current = 0;
    HttpClient m_client;

    std::string url(const std::string &path) const;
    std::optional<HttpResponse> get(const std::string &path, TimePoint deadline);
    ReadAnswer readObject(const std::string &kind, const std::string &name,
                          const std::string &query, TimePoint deadline);
};

std::string HttpObjectApi::Private::url(const std::string &path) const
{
    return m_baseUrls[m_current % m_baseUrls.size()] + path;
}

// A server that can't be reached or is out of service is passed over for the next.
std::optional<HttpResponse> HttpObjectApi::Private::get(const std::string &path, TimePoint deadline)
{
    for (std::size_t attempt = 0; attempt < m_baseUrls.size(); ++attempt) {
        HttpClientCall call;
        call.m_url = url(path);
        call.m_deadline = deadline;
        Failure failure;
        auto response = m_client.callAndWait(std::move(call), failure);
        if (response && response->m_status < 500)
            return response;
        ++m_current;
    }
    return std::nullopt;
}

ReadAnswer HttpObjectApi::Private::readObject(const std::string &kind, const std::string &name,
                                              const std::string &query, TimePoint deadline)
{
    const std::string path = "/objects/" + escapePathSegment(kind) + "/" + escapePathSegment(name);
    const auto response = get(path + query, deadline);
    if (!response)
        return {};
    if (response->m_status == statusNotFound || response->m_status == statusNoContent)
        return {true, std::nullopt, eraOf(*response)};
    auto object = readObjectJson(response->m_body);
    if (response->m_status != statusOk || !object)
        return {};
    object->m_kind = kind;
    object->m_name = name;
    return {true, std::move(object), eraOf(*response)};
}

HttpObjectApi::HttpObjectApi(std::vector<std::string> baseUrls)
    : m_d(std::make_unique<Private>())
{
    for (std::string &url : baseUrls) {
        while (url.ends_with('/'))
            url.pop_back();
    }
    if (baseUrls.empty())
        baseUrls.emplace_back();
    m_d->m_baseUrls = std::move(baseUrls);
}

HttpObjectApi::~HttpObjectApi() = default;

ReadAnswer HttpObjectApi::read(const std::string &kind, const std::string &name, TimePoint deadline)
{
    return m_d->readObject(kind, name, "", deadline);
}

WriteAnswer HttpObjectApi::write(const PlatformObject &object, TimePoint deadline)
{
    HttpClientCall call;
    call.m_method = "PUT";
    call.m_url = m_d->url("/objects/" + escapePathSegment(object.m_kind) + "/"
                          + escapePathSegment(object.m_name));
    call.m_headers.push_back({"If-Match", std::to_string(object.m_version)});
    call.m_headers.push_back({"Content-Type", "application/octet-stream"});
    call.m_body = object.m_value;
    call.m_deadline = deadline;
    call.m_neverResend = true;
    Failure failure;
    const auto response = m_d->m_client.callAndWait(std::move(call), failure);
    if (!response) {
        ++m_d->m_current;
        return {};
    }
    if (response->m_status == statusConflict)
        return {WriteResult::Conflict, 0, eraOf(*response)};
    const auto version = readVersionJson(response->m_body);
    if (response->m_status != statusOk || !version)
        return {};
    return {WriteResult::Applied, *version, eraOf(*response)};
}

ReadAnswer HttpObjectApi::watch(const std::string &kind, const std::string &name,
                                std::uint64_t after, TimePoint deadline)
{
    const auto left = millisecondsUntil(deadline, Clock::now());
    const auto wait = std::max<std::int64_t>(0, left - answerMargin.count());
    return m_d->readObject(
        kind, name, "?watch=1&after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait),
        deadline);
}

std::optional<std::vector<Vm>> HttpObjectApi::listVms(TimePoint deadline)
{
    const auto response = m_d->get("/vms", deadline);
    if (!response || response->m_status != statusOk)
        return std::nullopt;
    return readVmsJson(response->m_body);
}

} // namespace burdockhead
