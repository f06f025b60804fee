#include <burdockhead/observe/eventring.h>
#include <burdockhead/observe/eventtext.h>

#include <property.h>

using namespace burdockhead;

namespace {

EventSubject makeSubject(std::uint64_t request, const std::string &workspace)
{
    return {RequestId{0, request}, WorkspaceName(workspace), EndpointName("r0")};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Events)

BOOST_AUTO_TEST_CASE(every_type_has_a_name_that_parses_back)
{
    for (std::size_t index = 0; index < eventTypeCount; ++index) {
        const auto type = static_cast<EventType>(index);
        BOOST_TEST((eventTypeFromString(toString(type)) == type));
    }
    BOOST_TEST(!eventTypeFromString("no_such_event").has_value());
}

BOOST_AUTO_TEST_CASE(a_full_ring_keeps_the_latest_events_in_order)
{
    EventRing ring(ProcessName("e1"), 3);
    for (std::uint64_t index = 0; index < 5; ++index)
        ring.record(EventType::RequestReceived, makeSubject(index, "w"), "", 1000);
    const auto events = ring.events({});
    BOOST_REQUIRE(events.size() == 3U);
    BOOST_TEST(ring.dropped() == 2U);
    for (std::size_t index = 0; index < 3; ++index)
        BOOST_TEST(events[index].m_subject.m_request->m_low == index + 2);
    BOOST_TEST((events[0].m_time < events[1].m_time && events[1].m_time < events[2].m_time));
}

BOOST_AUTO_TEST_CASE(filters_select_matching_events_and_round_trip_as_a_query)
{
    EventRing ring(ProcessName("e1"), 10);
    ring.record(EventType::RequestReceived, makeSubject(1, "w"), "", 1000);
    ring.record(EventType::RequestCompleted, makeSubject(1, "w"), "", 2000);
    ring.record(EventType::RequestReceived, makeSubject(2, "v"), "", 3000);
    EventFilter filter;
    filter.m_request = RequestId{0, 1};
    BOOST_TEST(ring.events(filter).size() == 2U);
    filter.m_type = EventType::RequestCompleted;
    BOOST_TEST(ring.events(filter).size() == 1U);
    filter.m_sinceMilliseconds = 2001;
    BOOST_TEST(ring.events(filter).empty());
    filter.m_workspace = WorkspaceName("w");
    filter.m_endpoint = EndpointName("r0");
    filter.m_untilMilliseconds = 5000;
    HttpRequest request;
    request.m_query = filter.toQuery();
    Failure failure;
    BOOST_TEST((EventFilter::fromRequest(request, failure) == filter));
    request.m_query = "event=nonsense";
    BOOST_TEST(!EventFilter::fromRequest(request, failure).has_value());
    BOOST_TEST(failure.m_reason == "bad value of parameter event");
}

BOOST_AUTO_TEST_CASE(an_event_round_trips_through_its_json_line)
{
    checkProperty(
        "round trip", [](std::uint64_t milliseconds, std::uint64_t counter, bool hasSubject) {
            const auto ascii = rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
            Event event;
            event.m_time = {milliseconds, counter};
            event.m_process = ProcessName(*ascii);
            event.m_type = static_cast<EventType>(milliseconds % eventTypeCount);
            if (hasSubject)
                event.m_subject = makeSubject(counter, *ascii);
            event.m_reason = *ascii;
            const std::string line = toJsonLine(event);
            RC_ASSERT(line.find('\n') == std::string::npos);
            RC_ASSERT(eventFromJsonLine(line) == event);
        });
    checkProperty("arbitrary bytes", [](const std::string &text) {
        const auto events = eventsFromJsonLines(text);
        RC_ASSERT(!events || events->empty() || !text.empty());
    });
    BOOST_TEST(!eventFromJsonLine("{\"milliseconds\":1}").has_value());
    BOOST_TEST(!eventFromJsonLine("{\"milliseconds\":-1,\"counter\":0,\"event\":3}").has_value());
}

BOOST_AUTO_TEST_CASE(events_of_several_processes_merge_ordered_by_time)
{
    Event first;
    first.m_time = {1, 0};
    first.m_process = ProcessName("b");
    Event second = first;
    second.m_time = {1, 1};
    second.m_process = ProcessName("a");
    Event third = second;
    third.m_process = ProcessName("b");
    const auto merged = mergeEvents({{second}, {first, third}});
    BOOST_TEST((merged == std::vector<Event>{first, second, third}));
    BOOST_TEST((eventsFromJsonLines(toJsonLines(merged)) == merged));
}

BOOST_AUTO_TEST_SUITE_END()
