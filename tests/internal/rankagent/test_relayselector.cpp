#include <burdockhead/rankagent/relayselector.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const SocketAddress first{"10.0.0.1", 8229};
const SocketAddress second{"10.0.0.2", 8229};

} // namespace

BOOST_AUTO_TEST_SUITE(Relays)

// Load pattern: a gateway's VM freezes for some seconds with an order to hold the group.
BOOST_AUTO_TEST_CASE(a_gateway_that_failed_is_skipped_for_some_seconds)
{
    RelaySelector relays({first, second});
    const TimePoint now = Clock::now();
    BOOST_TEST((relays.choose(now) == first));
    relays.recordFailure(first, now);
    BOOST_TEST((relays.choose(now + Seconds(4)) == second));
    BOOST_TEST((relays.choose(now + Seconds(6)) == first));
}

BOOST_AUTO_TEST_CASE(none_is_chosen_when_all_have_failed)
{
    RelaySelector relays({first, second});
    const TimePoint now = Clock::now();
    relays.recordFailure(first, now);
    relays.recordFailure(second, now);
    BOOST_TEST(!relays.choose(now).has_value());
    BOOST_TEST(!RelaySelector({}).choose(now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
