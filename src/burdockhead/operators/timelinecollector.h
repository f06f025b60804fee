#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/observe/event.h>
#include <burdockhead/observe/eventfilter.h>
#include <burdockhead/operators/memberaddress.h>

#include <string>
#include <vector>

namespace burdockhead {

// A process that gave no events, and why.
struct UnreachableMember
{
    MemberAddress m_member;
    std::string m_reason;
};

// The events of all processes in causal order, and the processes that are missing.
struct CollectedTimeline
{
    std::vector<Event> m_events;
    std::vector<UnreachableMember> m_unreachable;
};

// Asks all processes side by side and waits for the last answer or the deadline.
CollectedTimeline collectTimeline(const std::vector<MemberAddress> &members,
                                  const EventFilter &filter, TimePoint deadline);

} // namespace burdockhead
