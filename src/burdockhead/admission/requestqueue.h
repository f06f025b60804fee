#pragma once

#include <burdockhead/admission/queuedrequest.h>
#include <burdockhead/configuration/workspace.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace burdockhead {

// The order in which waiting requests are started, and which one gives way when the queue
// is full.
class RequestQueue
{
public:
    virtual ~RequestQueue() = default;

    // Takes the workspaces' shares over; a workspace that isn't listed has a share of 1.
    virtual void setShares(const std::vector<Workspace> &workspaces) = 0;

    virtual void push(const QueuedRequest &request) = 0;

    // Takes out the request that is to be started next.
    virtual std::optional<QueuedRequest> pop() = 0;

    // Takes out one request; none when it isn't in the queue.
    virtual std::optional<QueuedRequest> remove(const RequestId &id) = 0;

    virtual std::size_t size() const = 0;

    // About how many waiting requests would be started before this one.
    virtual std::size_t aheadOf(const QueuedRequest &request) const = 0;

    // The waiting request that gives way to this one in a full queue, if any does.
    virtual std::optional<RequestId> victimFor(const QueuedRequest &request) const = 0;

    // False: the queue has no limit and nothing is refused early.
    virtual bool isBounded() const = 0;
};

} // namespace burdockhead
