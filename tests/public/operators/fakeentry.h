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

// The operators' port of an entry, with a configuration in memory in the platform's place.
class FakeEntry
{
public:
    explicit FakeEntry(std::string text)
        : m_text(std::move(text))
        , m_ring(ProcessName("e1"), 100)
        , m_address(freeLoopbackAddress())
        , m_server(optionsFor(m_address), [this](const HttpRequest &request, auto responder) {
            answer(request, responder);
        })
    {
        m_members.push_back({ProcessName("e1"), m_address});
        m_server.start();
    }

    // A responder must not outlive its server.
    ~FakeEntry()
    {
        const std::scoped_lock lock(m_mutex);
        m_held.reset();
    }
    FakeEntry(const FakeEntry &) = delete;
    FakeEntry &operator=(const FakeEntry &) = delete;

    const SocketAddress &address() const { return m_address; }
    EventRing &ring() { return m_ring; }
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

    // Somebody else's change, to be made just before the next one arrives.
    void raceOnce(std::string text)
    {
        const std::scoped_lock lock(m_mutex);
        m_otherText = std::move(text);
    }

    // Changes are made, or not, and their answers are lost.
    void loseAnswers(bool applies)
    {
        const std::scoped_lock lock(m_mutex);
        m_losesAnswers = true;
        m_appliesLost = applies;
    }

private:
    static HttpServerOptions optionsFor(const SocketAddress &address)
    {
        HttpServerOptions options;
        options.m_listen = address;
        return options;
    }

    void answer(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
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
        return {200, {}, toJsonLines(m_ring.events(filter.value()))};
    }

    HttpResponse members() const
    {
        nlohmann::json list = nlohmann::json::array();
        for (const MemberAddress &member : m_members)
            list.push_back(
                {{"name", member.m_name.text()}, {"operators", member.m_operators.toString()}});
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
        if (m_losesAnswers)
            m_held = responder;
        if (m_losesAnswers && !m_appliesLost)
            return;
        const HttpResponse response =
            apply(request.header("If-Match").value_or(""), request.m_body);
        if (!m_losesAnswers)
            responder->respond(response);
    }

    HttpResponse apply(const std::string &baseVersion, const std::string &text)
    {
        if (m_otherText) {
            m_text = *m_otherText;
            m_otherText.reset();
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
    std::optional<std::string> m_otherText;
    bool m_losesAnswers = false;
    bool m_appliesLost = false;
    std::shared_ptr<HttpResponder> m_held;
    EventRing m_ring;
    std::vector<MemberAddress> m_members;
    SocketAddress m_address;
    HttpServer m_server;
};

} // namespace burdockhead
