#include <burdockhead/process/resourcelimits.h>

#include <sys/resource.h>

#include <algorithm>
#include <malloc.h>

namespace burdockhead {

namespace {

constexpr std::size_t bytesPerMegabyte = 1048576;
// Fractions of the memory. A request in work takes up to three times its size: as it came, and once
// more each in the request to its endpoint and in that connection's queue.
constexpr std::size_t requestShareDivisor = 4;
constexpr std::size_t responseShareDivisor = 8;
// Parts in twelve of what clients may use, by kind of port.
constexpr std::size_t allParts = 12;

std::size_t partsOf(PortKind ports)
{
    switch (ports) {
    case PortKind::All:
        break;
    case PortKind::Requests:
        return 8;
    case PortKind::Operators:
        return 1;
    case PortKind::Control:
        return 3;
    }
    return allParts;
}

// Fraction of the descriptors.
constexpr std::size_t connectionShareNumerator = 3;
constexpr std::size_t connectionShareDenominator = 4;
// Used if the system doesn't tell.
constexpr std::size_t defaultDescriptors = 1024;
// The allocator would raise its own threshold up to 32 MB with each large block that is freed.
constexpr int largeBlockBytes = 131072;

std::size_t systemDescriptorLimit()
{
    rlimit limit = {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return defaultDescriptors;
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace

std::size_t descriptorLimit(const ResourceLimits &limits)
{
    const std::size_t system = systemDescriptorLimit();
    return limits.m_maxDescriptors == 0 ? system : std::min(limits.m_maxDescriptors, system);
}

ClientBudgetLimits clientBudgetLimits(const ResourceLimits &limits, PortKind ports)
{
    const std::size_t memory = limits.m_memoryMegabytes * bytesPerMegabyte;
    const std::size_t connections =
        descriptorLimit(limits) * connectionShareNumerator / connectionShareDenominator;
    return {memory / requestShareDivisor * partsOf(ports) / allParts, memory / responseShareDivisor,
            connections * partsOf(ports) / allParts};
}

void returnLargeBlocksAtOnce()
{
    (void)mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

} // namespace burdockhead
