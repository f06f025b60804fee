#pragma once

#include "childprocess.h"
#include "clientcrowd.h"
#include "loopback.h"

#include <cstddef>

namespace burdockhead::test {

// Runs the loop until the crowd has sent all that the server takes, or for that time.
inline void waitForCrowd(EventLoop &loop, const ClientCrowd &crowd)
{
    constexpr Seconds longest{5};
    constexpr Milliseconds afterwards{300};
    const TimePoint end = Clock::now() + longest;
    runUntil(loop, [&] { return crowd.hasSettled() || Clock::now() > end; });
    const TimePoint later = Clock::now() + afterwards;
    runUntil(loop, [&] { return Clock::now() > later; });
}

// Checks that the process lives and stays under these bounds.
inline void checkBounds(ChildProcess &process, std::size_t maxMemoryKilobytes,
                        std::size_t maxDescriptors)
{
    BOOST_TEST(process.running());
    BOOST_TEST_MESSAGE("peak memory " << process.peakMemoryKilobytes() << " KB, descriptors "
                                      << process.openDescriptors());
    BOOST_TEST(process.peakMemoryKilobytes() > 0U);
    BOOST_TEST(process.peakMemoryKilobytes() < maxMemoryKilobytes);
    BOOST_TEST(process.openDescriptors() > 0U);
    BOOST_TEST(process.openDescriptors() <= maxDescriptors);
}

} // namespace burdockhead::test
