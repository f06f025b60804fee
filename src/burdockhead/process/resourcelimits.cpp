#include <burdockhead/process/resourcelimits.h>

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

// The allocator would raise its own threshold up to 32 MB with each large block that is freed.
constexpr int largeBlockBytes = 131072;

} // namespace

ClientBudgetLimits clientBudgetLimits(const ResourceLimits &limits, PortKind ports)
{
    const std::size_t memory = limits.m_memoryMegabytes * bytesPerMegabyte;
    ClientBudgetLimits budget;
    budget.m_maxRequestBytes = memory / requestShareDivisor * partsOf(ports) / allParts;
    budget.m_maxResponseBytes = memory / responseShareDivisor;
    return budget;
}

void returnLargeBlocksAtOnce()
{
    (void)mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

} // namespace burdockhead
