#pragma once

#include <burdockhead/http/httpserver.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/observe/eventtext.h>
#include <burdockhead/operators/operatorsprotocol.h>

#include <nlohmann/json.hpp>

#include <freeport.h>
#include <functional>
#include <mutex>

namespace burdockhead {

// Serves the operator paths of an entry. Keeps the configuration in memory instead of on the
// platform.
class FakeEntry
{
public:
    explicit FakeEntry(std::string text)
        : m_text(std::move(text))
        , m_events(ProcessName("e1"), 100)
        , m_address(freeLoopbackAddress())
        , m_server(optionsFor(m_address), [this](const HttpRequest &request, auto responder) {
            handle(request, responder);
        })
    {
        m_members.push_back({ProcessName("e1"), m_address});
        m_server.start();
    }

    // A responder must not outlive its server.
    ~FakeEntry()
    {
        const std::scoped_lock lock(m_mutex);
        m_unansweredResponder.reset();
    }
    FakeEntry(const FakeEntry &) = delete;
    FakeEntry &operator=(const FakeEntry &) = delete;

    const SocketAddress &address() const { return m_address; }
    EventRing &events() { return m_events; }
    void addMember(MemberAddress member) { m_members.push_back(std::move(member)); }

    std::string text() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_text;
    }

    std::uint64_t version() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_version;
    }

    // Simulates a concurrent change: replaces the text just before the next change is applied.
    void replaceBeforeNextChange(std::string text)
    {
        const std::scoped_lock lock(m_mutex);
        m_concurrentText = std::move(text);
    }

    // Never responds to changes from now on. They are still applied if isApplying is true.
    void dropResponses(bool isApplying)
    {
        const std::scoped_lock lock(m_mutex);
        m_isDroppingResponses = true;
        m_isApplyingDropped = isApplying;
    }

private:
    static HttpServerOptions optionsFor(const SocketAddress &address)
    {
        HttpServerOptions options;
        options.m_listen = address;
        return options;
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        if (request.m_path == timelinePath)
            responder->respond(timeline(request));
        else if (request.m_path == membersPath)
            responder->respond(members());
        else if (request.m_method == "GET")
            responder->respond(read());
        else
            change(request, responder);
    }

    HttpResponse timeline(const HttpRequest &request) const
    {
        Failure failure;
        const auto filter = EventFilter::fromRequest(request, failure);
        return {200, {}, toJsonLines(m_events.events(filter.value()))};
    }

    HttpResponse members() const
    {
        nlohmann::json list = nlohmann::json::array();
        for (const MemberAddress &member : m_members)
            list.push_back({{"name", member.m_name.text()},
                            {"operators", member.m_operatorAddress.toString()}});
        return {200, {}, list.dump()};
    }

    HttpResponse read() const
    {
        const std::scoped_lock lock(m_mutex);
        return {200, {{configurationVersionHeader, std::to_string(m_version)}}, m_text};
    }

    void change(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isDroppingResponses)
            m_unansweredResponder = responder;
        if (m_isDroppingResponses && !m_isApplyingDropped)
            return;
        const HttpResponse response =
            apply(request.header("If-Match").value_or(""), request.m_body);
        if (!m_isDroppingResponses)
            responder->respond(response);
    }

    HttpResponse apply(const std::string &baseVersion, const std::string &text)
    {
        if (m_concurrentText) {
            m_text = *m_concurrentText;
            m_concurrentText.reset();
            ++m_version;
        }
        if (baseVersion != std::to_string(m_version))
            return {409, {}, nlohmann::json{{"version", m_version}, {"text", m_text}}.dump()};
        m_text = text;
        return {200, {}, nlohmann::json{{"version", ++m_version}}.dump()};
    }

    mutable std::mutex m_mutex;
    std::string m_text;
    std::uint64_t m_version = 1;
    std::optional<std::string> m_concurrentText;
    bool m_isDroppingResponses = false;
    bool m_isApplyingDropped = false;
    std::shared_ptr<HttpResponder> m_unansweredResponder;
    EventRing m_events;
    std::vector<MemberAddress> m_members;
    SocketAddress m_address;
    HttpServer m_server;
};

} // namespace burdockhead
