#include <burdockhead/transport/frame.h>

#include <property.h>

using namespace burdockhead;

namespace {

const TimePoint now{Seconds(1000)};

rc::Gen<AttemptId> attempts()
{
    return rc::gen::map(rc::gen::arbitrary<std::uint32_t>(), [](std::uint32_t number) {
        return AttemptId{11, number};
    });
}

DispatchFrame dispatchFrame(const AttemptId &attempt, const std::string &body)
{
    DispatchFrame frame;
    frame.m_attempt = attempt;
    frame.m_boundTo = {42};
    frame.m_configurationVersion = 7;
    frame.m_facts.m_id = {1, 2};
    frame.m_facts.m_workspace = WorkspaceName("library");
    frame.m_facts.m_kind = KindName("digest");
    frame.m_facts.m_model = ModelName("shelf-8b");
    frame.m_facts.m_priority = 4;
    frame.m_facts.m_idempotencyKey = "key-1";
    frame.m_facts.m_deadline = now + Milliseconds(1500);
    frame.m_method = "POST";
    frame.m_path = "/v1/chat/completions";
    frame.m_body = body;
    return frame;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Frames)

BOOST_AUTO_TEST_CASE(every_frame_reads_back_as_it_was_written)
{
    checkProperty("round trip", [](const std::string &text, bool flag) {
        const AttemptId attempt = *attempts();
        LoadReport load{1, 2, 3, 4, flag, !flag};
        const std::vector<Frame> frames = {
            HelloFrame{ProcessName(text), {5}, 6},
            dispatchFrame(attempt, text),
            CancelFrame{attempt},
            HeadFrame{attempt, 200, text, flag, {9, 1}},
            DataFrame{attempt, 77, text},
            EndFrame{attempt, 78, load, {9, 2}},
            FailureFrame{attempt,
                         ErrorKind::Overloaded,
                         RunState::NotRun,
                         text,
                         now + Milliseconds(250),
                         load,
                         {9, 3}},
        };
        for (const Frame &frame : frames) {
            const auto read = decodeFrame(encodeFrame(frame, now), now);
            RC_ASSERT(read.has_value());
            RC_ASSERT(*read == frame);
        }
    });
}

BOOST_AUTO_TEST_CASE(a_deadline_travels_as_the_time_left)
{
    const Frame sent = dispatchFrame({}, "");
    const TimePoint otherClock{Seconds(5)};
    const auto read = decodeFrame(encodeFrame(sent, now), otherClock);
    BOOST_REQUIRE(read.has_value());
    const auto &frame = std::get<DispatchFrame>(*read);
    BOOST_TEST((frame.m_facts.m_deadline == otherClock + Milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(truncated_and_arbitrary_bytes_are_no_frames)
{
    const std::string whole = encodeFrame(dispatchFrame({}, "body"), now);
    for (std::size_t length = 0; length < whole.size(); ++length)
        BOOST_TEST(!decodeFrame(whole.substr(0, length), now).has_value());
    BOOST_TEST(!decodeFrame(whole + "x", now).has_value());
    checkProperty("arbitrary bytes never crash", [](const std::string &bytes) {
        const auto read = decodeFrame(bytes, now);
        RC_ASSERT(!read || read->index() < std::variant_size_v<Frame>);
    });
}

BOOST_AUTO_TEST_SUITE_END()
