#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/requestid.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// A request in an agent's queue.
struct QueuedRequest
{
    RequestId m_id;
    WorkspaceName m_workspace;
    KindName m_kind;
    std::uint32_t m_priority = 1; // 0 is the lowest, 9 the highest.
    bool m_repeatable = true;
    TimePoint m_latestStart; // If it starts later, it cannot meet its deadline.

    friend bool operator==(const QueuedRequest &, const QueuedRequest &) = default;
};

} // namespace burdockhead
