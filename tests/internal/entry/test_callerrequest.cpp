#include <burdockhead/entry/callerrequest.h>

#include <property.h>

using namespace burdockhead;

namespace {

const TimePoint now{Seconds(100)};

Configuration configuration()
{
    Configuration result;
    result.m_kinds = {{KindName("digest"), true, 1, 2, Seconds(30)},
                      {KindName("sign-off"), false, 5, 7, Seconds(20)}};
    result.m_workspaces = {{WorkspaceName("library"), 1}};
    return result;
}

HttpRequest chatRequest(std::vector<HttpHeader> headers, std::string body)
{
    headers.push_back({"Burdockhead-Workspace", "library"});
    return {"POST", "/v1/chat/completions", "", std::move(headers), std::move(body)};
}

std::optional<CallerRequest> parse(const HttpRequest &request, Failure &failure)
{
    Random random(1);
    return parseCallerRequest(request, configuration(), now, random, failure);
}

ErrorKind refusalKind(const HttpRequest &request)
{
    Failure failure;
    BOOST_TEST(!parse(request, failure).has_value());
    return failure.m_kind;
}

const std::string body = R"({"model":"shelf-8b","messages":[{"role":"user","content":"hi"}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(CallerRequests)

BOOST_AUTO_TEST_CASE(a_chat_request_gets_its_attributes_from_headers_body_and_kind)
{
    Failure failure;
    const auto parsed = parse(
        chatRequest({{"Burdockhead-Kind", "digest"}, {"burdockhead-deadline-ms", "1500"}}, body),
        failure);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->m_attributes.m_model.text() == "shelf-8b");
    BOOST_TEST((parsed->m_attributes.m_deadline == now + Milliseconds(1500)));
    BOOST_TEST(parsed->m_attributes.m_priority == 2U);
    BOOST_TEST(parsed->m_attributes.m_repeatable);
    BOOST_TEST(!parsed->m_wantsStream);
}

BOOST_AUTO_TEST_CASE(a_deadline_beyond_the_maximum_of_the_kind_is_capped)
{
    Failure failure;
    const auto parsed = parse(
        chatRequest({{"Burdockhead-Kind", "digest"}, {"Burdockhead-Deadline-Ms", "999999"}}, body),
        failure);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->m_attributes.m_deadline == now + Seconds(30)));
}

BOOST_AUTO_TEST_CASE(a_service_path_selects_the_kind_and_keeps_the_remaining_path_and_query)
{
    Failure failure;
    const HttpRequest request{"POST",
                              "/v1/services/sign-off/branches/7",
                              "year=2026",
                              {{"Burdockhead-Workspace", "library"}, {"Idempotency-Key", "k"}},
                              "text"};
    const auto parsed = parse(request, failure);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->m_path == "/branches/7?year=2026");
    BOOST_TEST(parsed->m_attributes.m_idempotencyKey == "k");
    BOOST_TEST(!parsed->m_attributes.m_repeatable);
}

BOOST_AUTO_TEST_CASE(each_kind_of_bad_request_gets_its_own_error)
{
    using enum ErrorKind;
    const std::vector<HttpHeader> digest = {{"Burdockhead-Kind", "digest"}};
    BOOST_TEST((refusalKind(chatRequest(digest, "{")) == MalformedRequest));
    BOOST_TEST((refusalKind(chatRequest(digest, "[]")) == MalformedRequest));
    BOOST_TEST(
        (refusalKind(chatRequest(digest, R"({"model":1,"messages":[]})")) == MalformedRequest));
    BOOST_TEST((refusalKind(chatRequest(digest, R"({"model":"m","messages":[],"stream":1})"))
                == MalformedRequest));
    BOOST_TEST((refusalKind(chatRequest({}, body)) == UnknownKind));
    BOOST_TEST((refusalKind(chatRequest({{"Burdockhead-Kind", "sign-off"}}, body)) == KeyRequired));
    BOOST_TEST((refusalKind(chatRequest(
                    {{"Burdockhead-Kind", "digest"}, {"Burdockhead-Priority", "10"}}, body))
                == MalformedRequest));
    BOOST_TEST((refusalKind(chatRequest(
                    {{"Burdockhead-Kind", "digest"}, {"Burdockhead-Deadline-Ms", "-1"}}, body))
                == MalformedRequest));
    BOOST_TEST((refusalKind({"POST", "/v1/chat/completions", "", {}, body}) == UnknownWorkspace));
}

BOOST_AUTO_TEST_CASE(arbitrary_bodies_are_rejected_or_parsed_but_never_crash)
{
    checkProperty("arbitrary body", [](const std::string &bytes) {
        Failure failure;
        const auto parsed = parse(chatRequest({{"Burdockhead-Kind", "digest"}}, bytes), failure);
        RC_ASSERT(parsed || failure.m_kind == ErrorKind::MalformedRequest);
    });
}

BOOST_AUTO_TEST_SUITE_END()
