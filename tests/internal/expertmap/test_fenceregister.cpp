#include <burdockhead/expertmap/fenceregister.h>

#include <algorithm>
#include <property.h>
#include <vector>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(Fencing)

BOOST_AUTO_TEST_CASE(no_order_goes_through_after_one_with_a_higher_number)
{
    checkProperty("accepted numbers never fall", [](const std::vector<std::uint32_t> &fences) {
        FenceRegister fenceRegister;
        std::vector<std::uint32_t> accepted;
        std::copy_if(fences.begin(), fences.end(), std::back_inserter(accepted),
                     [&](std::uint32_t fence) { return fenceRegister.accept(fence); });
        RC_ASSERT(std::is_sorted(accepted.begin(), accepted.end()));
        RC_ASSERT(fences.empty() || !accepted.empty());
    });
}

BOOST_AUTO_TEST_CASE(a_register_started_from_a_known_number_refuses_older_ones)
{
    FenceRegister fenceRegister(7);
    BOOST_TEST(!fenceRegister.accept(6));
    BOOST_TEST(fenceRegister.accept(7));
    BOOST_TEST(fenceRegister.accept(9));
    BOOST_TEST(!fenceRegister.accept(8));
    BOOST_TEST(fenceRegister.highest() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
