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

BOOST_AUTO_TEST_CASE(events_come_out_whole_wherever_the_bytes_are_cut)
{
    checkProperty("a stream in any pieces gives the same bytes",
                  [](const std::vector<unsigned> &cuts) {
                      const std::string stream = events(1, 12);
                      EventSplitter splitter{std::nullopt};
                      std::string out;
                      std::size_t at = 0;
                      for (const unsigned cut : cuts) {
                          const std::size_t length = cut % 40;
                          out += splitter.append(std::string_view(stream).substr(at, length));
                          at = std::min(at + length, stream.size());
                          RC_ASSERT(out.empty() || out.ends_with("\n\n"));
                      }
                      out += splitter.append(std::string_view(stream).substr(at));
                      RC_ASSERT(out == stream);
                      RC_ASSERT(!splitter.hasPartialEvent());
                      RC_ASSERT(!splitter.hasGap());
                  });
}

BOOST_AUTO_TEST_CASE(a_stream_that_goes_on_elsewhere_lacks_and_repeats_nothing)
{
    EventSplitter splitter{std::nullopt};
    std::string out = splitter.append(events(1, 3) + event(4).substr(0, 9));
    splitter.beginResponse();
    BOOST_TEST(splitter.lastEventId().value() == 3U);
    out += splitter.append(events(3, 6));
    BOOST_TEST(out == events(1, 6));
    BOOST_TEST(!splitter.hasGap());
}

BOOST_AUTO_TEST_CASE(a_missing_event_is_noticed_and_nothing_after_it_is_given_out)
{
    EventSplitter splitter{std::optional<std::uint64_t>(3)};
    BOOST_TEST(splitter.append(event(4)) == event(4));
    BOOST_TEST(splitter.append(event(6) + event(7)).empty());
    BOOST_TEST(splitter.hasGap());
}

BOOST_AUTO_TEST_SUITE_END()
