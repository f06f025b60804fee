#include <burdockhead/entry/answerwriter.h>
#include <burdockhead/http/httprequest.h>

#include <nlohmann/json.hpp>

#include <property.h>

using namespace burdockhead;

namespace {

// Keeps what a caller would see.
struct RecordingResponder : public HttpResponder
{
    void respond(HttpResponse response) override
    {
        m_body = response.m_body;
        m_status = response.m_status;
        m_whole = true;
    }
    void begin(int status, std::vector<HttpHeader>) override { m_status = status; }
    bool write(std::string chunk) override
    {
        m_body += chunk;
        return true;
    }
    void finish() override { m_whole = true; }
    bool gone() const override { return false; }
    std::size_t unwrittenBytes() const override { return 0; }

    int m_status = 0;
    std::string m_body;
    bool m_whole = false;
};

std::string event(std::uint64_t index)
{
    return "data: {\"index\":" + std::to_string(index) + "}\n\n";
}

std::string eventsFrom(std::uint64_t first, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t index = first; index < count; ++index)
        text += event(index);
    return text + "data: [DONE]\n\n";
}

const HeadFrame streamHead{{}, 200, "text/event-stream", false, {}};

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerWriters)

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_anywhere_and_is_resumed_arrives_whole)
{
    checkProperty("resumed stream", [] {
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
        const auto responder = std::make_shared<RecordingResponder>();
        AnswerWriter writer(responder, true);
        const std::string whole = eventsFrom(0, count);
        const auto breaks = *rc::gen::inRange(0, 6);
        bool finished = false;
        for (int attempt = 0; !finished; ++attempt) {
            writer.beginAttempt();
            writer.takeHead(streamHead);
            const std::string rest = eventsFrom(writer.tokensSent(), count);
            const auto cut = attempt >= breaks ? rest.size()
                                               : *rc::gen::inRange<std::size_t>(0, rest.size() + 1);
            const auto half = *rc::gen::inRange<std::size_t>(0, cut + 1);
            RC_ASSERT(writer.takeData(0, rest.substr(0, half)));
            RC_ASSERT(writer.takeData(half, rest.substr(half, cut - half)));
            RC_ASSERT(writer.takeData(half, rest.substr(half, cut - half)));
            finished = writer.takeEnd(cut);
            RC_ASSERT(finished == (cut == rest.size()));
        }
        RC_ASSERT(responder->m_whole);
        RC_ASSERT(responder->m_body == whole);
    });
}

BOOST_AUTO_TEST_CASE(a_gap_is_noticed_and_a_short_answer_is_never_closed_as_whole)
{
    const auto responder = std::make_shared<RecordingResponder>();
    AnswerWriter writer(responder, false);
    writer.beginAttempt();
    BOOST_TEST(!writer.takeEnd(0));
    writer.takeHead({{}, 200, "application/json", false, {}});
    BOOST_TEST(writer.takeData(0, "abc"));
    BOOST_TEST(!writer.takeData(4, "e"));
    BOOST_TEST(!writer.takeEnd(5));
    BOOST_TEST(!responder->m_whole);
    BOOST_TEST(writer.takeData(3, "de"));
    BOOST_TEST(writer.takeEnd(5));
    BOOST_TEST(responder->m_body == "abcde");
}

BOOST_AUTO_TEST_CASE(an_error_after_the_stream_began_is_an_event_without_the_closing_one)
{
    const auto responder = std::make_shared<RecordingResponder>();
    AnswerWriter writer(responder, true);
    writer.keepAlive();
    writer.fail({ErrorKind::Overloaded, RunState::NotRun, "", {}, "id"}, Clock::now());
    BOOST_TEST(responder->m_body.find("event: error\ndata: {\"error\"") != std::string::npos);
    BOOST_TEST(responder->m_body.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_error_body_says_kind_reason_run_state_and_when_to_come_back)
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
