#include "property.h"
#include <burdockhead/gateway/eventsplitter.h>

using namespace burdockhead;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id);
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Events)

BOOST_AUTO_TEST_CASE(an_event_without_end_is_given_up)
{
    EventSplitter splitter{std::nullopt};
    const std::string bytes(4096, 'x');
    BOOST_TEST(splitter.append(event(1)) == event(1));
    int pieces = 0;
    for (; pieces < 1000 && !splitter.isEventTooLong(); ++pieces)
        BOOST_TEST(splitter.append(bytes).empty());
    BOOST_TEST(pieces < 100);
    BOOST_TEST(!splitter.hasPartialEvent());
    splitter.beginResponse();
    BOOST_TEST(!splitter.isEventTooLong());
}

BOOST_AUTO_TEST_CASE(events_are_complete_however_the_bytes_are_split)
{
    checkProperty("a stream in any pieces gives the same bytes",
                  [](const std::vector<unsigned> &cuts) {
                      const std::string stream = events(1, 12);
                      EventSplitter splitter{std::nullopt};
                      std::string output;
                      std::size_t at = 0;
                      for (const unsigned cut : cuts) {
                          const std::size_t length = cut % 40;
                          output += splitter.append(std::string_view(stream).substr(at, length));
                          at = std::min(at + length, stream.size());
                          RC_ASSERT(output.empty() || output.ends_with("\n\n"));
                      }
                      output += splitter.append(std::string_view(stream).substr(at));
                      RC_ASSERT(output == stream);
                      RC_ASSERT(!splitter.hasPartialEvent());
                      RC_ASSERT(!splitter.hasGap());
                  });
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_skips_and_repeats_no_event)
{
    EventSplitter splitter{std::nullopt};
    std::string output = splitter.append(events(1, 3) + event(4).substr(0, 9));
    splitter.beginResponse();
    BOOST_TEST(splitter.lastEventId().value() == 3U);
    output += splitter.append(events(3, 6));
    BOOST_TEST(output == events(1, 6));
    BOOST_TEST(!splitter.hasGap());
}

BOOST_AUTO_TEST_CASE(a_missing_event_is_detected_and_no_later_one_is_returned)
{
    EventSplitter splitter{std::optional<std::uint64_t>(3)};
    BOOST_TEST(splitter.append(event(4)) == event(4));
    BOOST_TEST(splitter.append(event(6) + event(7)).empty());
    BOOST_TEST(splitter.hasGap());
}

BOOST_AUTO_TEST_SUITE_END()
