#pragma once

#include <burdockhead/net/clientbudget.h>

#include <cstddef>

namespace burdockhead {

// What a process may use of its VM.
struct ResourceLimits
{
    std::size_t m_memoryMegabytes = 256;
    std::size_t m_maxDescriptors = 0; // 0 for as many as the system allows.

    friend bool operator==(const ResourceLimits &, const ResourceLimits &) = default;
};

// The ports of a process that has several budgets, one for each thread that reads clients.
enum class PortKind {
    All, // All ports share one budget.
    Requests,
    Operators,
    Control,
};

// Returns how much of that clients may make the process hold. What they leave is for the program,
// for what endpoints send, and for the process's own connections and files.
ClientBudgetLimits clientBudgetLimits(const ResourceLimits &limits, PortKind ports = PortKind::All);

// Returns the descriptors that the process may open.
std::size_t descriptorLimit(const ResourceLimits &limits);

// Has the allocator return large blocks to the system as soon as they are freed, so that memory
// that clients have made the process use isn't kept.
void returnLargeBlocksAtOnce();

} // namespace burdockhead
