#include "property.h"
#include <burdockhead/gateway/slidingwindowcounter.h>

#include <deque>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(Arrivals)

BOOST_AUTO_TEST_CASE(no_span_of_a_second_holds_more_than_the_limit)
{
    checkProperty("arrivals stay within the limit in any span",
                  [](const std::vector<unsigned> &gaps) {
                      constexpr std::size_t limit = 6;
                      SlidingWindowCounter window{Milliseconds(1000)};
                      TimePoint now{};
                      std::deque<TimePoint> allowed;
                      for (const unsigned gap : gaps) {
                          now += Milliseconds(gap % 400);
                          if (!window.allows(limit, now))
                              continue;
                          window.record(now);
                          allowed.push_back(now);
                      }
                      for (std::size_t first = 0; first + limit < allowed.size(); ++first)
                          RC_ASSERT(allowed[first + limit] - allowed[first] >= Milliseconds(1000));
                  });
}

BOOST_AUTO_TEST_SUITE_END()
