#include <burdockhead/entry/responsewriter.h>
#include <burdockhead/http/httprequest.h>

#include <nlohmann/json.hpp>

#include <property.h>

using namespace burdockhead;

namespace {

// Records the response that the caller would receive.
struct RecordingResponder : public HttpResponder
{
    void respond(HttpResponse response) override
    {
        m_body = response.m_body;
        m_status = response.m_status;
        m_isFinished = true;
    }
    void begin(int status, std::vector<HttpHeader>) override { m_status = status; }
    bool write(std::string chunk) override
    {
        m_body += chunk;
        return true;
    }
    void finish() override { m_isFinished = true; }
    bool gone() const override { return false; }
    std::size_t unwrittenBytes() const override { return 0; }

    int m_status = 0;
    std::string m_body;
    bool m_isFinished = false;
};

std::string eventText(std::uint64_t index)
{
    return "data: {\"index\":" + std::to_string(index) + "}\n\n";
}

std::string eventsFrom(std::uint64_t first, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t index = first; index < count; ++index)
        text += eventText(index);
    return text + "data: [DONE]\n\n";
}

const HeadFrame streamHead{{}, 200, "text/event-stream", false, {}};

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseWriters)

BOOST_AUTO_TEST_CASE(a_stream_interrupted_anywhere_and_resumed_arrives_complete)
{
    checkProperty("resumed stream", [] {
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
        const auto responder = std::make_shared<RecordingResponder>();
        ResponseWriter writer(responder, true);
        const std::string expected = eventsFrom(0, count);
        const auto interruptions = *rc::gen::inRange(0, 6);
        bool finished = false;
        for (int attempt = 0; !finished; ++attempt) {
            writer.beginAttempt();
            writer.setHead(streamHead);
            const std::string remaining = eventsFrom(writer.tokensSent(), count);
            const auto brokenAt = attempt >= interruptions
                                      ? remaining.size()
                                      : *rc::gen::inRange<std::size_t>(0, remaining.size() + 1);
            const auto split = *rc::gen::inRange<std::size_t>(0, brokenAt + 1);
            RC_ASSERT(writer.appendData(0, remaining.substr(0, split)));
            RC_ASSERT(writer.appendData(split, remaining.substr(split, brokenAt - split)));
            RC_ASSERT(writer.appendData(split, remaining.substr(split, brokenAt - split)));
            finished = writer.complete(brokenAt);
            RC_ASSERT(finished == (brokenAt == remaining.size()));
        }
        RC_ASSERT(responder->m_isFinished);
        RC_ASSERT(responder->m_body == expected);
    });
}

BOOST_AUTO_TEST_CASE(a_gap_is_detected_and_a_short_response_is_never_completed)
{
    const auto responder = std::make_shared<RecordingResponder>();
    ResponseWriter writer(responder, false);
    writer.beginAttempt();
    BOOST_TEST(!writer.complete(0));
    writer.setHead({{}, 200, "application/json", false, {}});
    BOOST_TEST(writer.appendData(0, "abc"));
    BOOST_TEST(!writer.appendData(4, "e"));
    BOOST_TEST(!writer.complete(5));
    BOOST_TEST(!responder->m_isFinished);
    BOOST_TEST(writer.appendData(3, "de"));
    BOOST_TEST(writer.complete(5));
    BOOST_TEST(responder->m_body == "abcde");
}

// Without a length the end of the connection looks like the end of the answer.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_within_an_event_is_never_completed)
{
    const auto responder = std::make_shared<RecordingResponder>();
    ResponseWriter writer(responder, true);
    writer.beginAttempt();
    writer.setHead({{}, 200, "text/event-stream", false, {}});
    const std::string bytes = "data: a\n\ndata: b";
    BOOST_TEST(writer.appendData(0, bytes));
    BOOST_TEST(!writer.complete(bytes.size()));
    BOOST_TEST(!responder->m_isFinished);
    BOOST_TEST(responder->m_body == "data: a\n\n");
}

BOOST_AUTO_TEST_CASE(an_error_after_the_stream_started_is_an_event_without_a_closing_event)
{
    const auto responder = std::make_shared<RecordingResponder>();
    ResponseWriter writer(responder, true);
    writer.writeKeepAlive();
    writer.fail({ErrorKind::Overloaded, RunState::NotRun, "", {}, "id"}, Clock::now());
    BOOST_TEST(responder->m_body.find("event: error\ndata: {\"error\"") != std::string::npos);
    BOOST_TEST(responder->m_body.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_error_body_contains_kind_reason_run_state_and_retry_after)
{
    const TimePoint now{Seconds(9)};
    const HttpResponse response = errorResponse(
        {ErrorKind::Overloaded, RunState::NotRun, "full", now + Milliseconds(1500), "id"}, now);
    BOOST_TEST(response.m_status == 503);
    BOOST_TEST(findHeader(response.m_headers, "retry-after").value() == "2");
    const auto body = nlohmann::json::parse(response.m_body)["error"];
    BOOST_TEST(body["kind"] == "overloaded");
    BOOST_TEST(body["run_state"] == "not_run");
    BOOST_TEST(body["retry_after_ms"] == 1500);
    BOOST_TEST(body["request_id"] == "id");
}

BOOST_AUTO_TEST_SUITE_END()
