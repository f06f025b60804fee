#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/observe/event.h>
#include <burdockhead/observe/eventfilter.h>
#include <burdockhead/operators/memberaddress.h>

#include <string>
#include <vector>

namespace burdockhead {

// A process that returned no events, and the reason.
struct UnreachableMember
{
    MemberAddress m_member;
    std::string m_reason;
};

// The events of the responding processes in causal order, and the processes that are missing.
struct CollectedTimeline
{
    std::vector<Event> m_events;
    std::vector<UnreachableMember> m_unreachable;
};

// Queries all processes in parallel and waits until each has responded or the deadline passes.
CollectedTimeline collectTimeline(const std::vector<MemberAddress> &members,
                                  const EventFilter &filter, TimePoint deadline);

} // namespace burdockhead
