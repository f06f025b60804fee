#pragma once

#include <burdockhead/admission/queuedrequest.h>
#include <burdockhead/configuration/workspace.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace burdockhead {

// Scheduling policy of the queued requests: which one starts next, and which one is evicted from
// a full queue.
class RequestQueue
{
public:
    virtual ~RequestQueue() = default;

    // Sets the shares of the workspaces; an unlisted workspace has a share of 1.
    virtual void setShares(const std::vector<Workspace> &workspaces) = 0;

    // Adds a request.
    virtual void push(const QueuedRequest &request) = 0;

    // Removes and returns the request to start next; none if the queue is empty.
    virtual std::optional<QueuedRequest> pop() = 0;

    // Removes and returns one request; none if it isn't queued.
    virtual std::optional<QueuedRequest> remove(const RequestId &id) = 0;

    virtual std::size_t size() const = 0;

    // Estimates how many queued requests would start before this one.
    virtual std::size_t aheadOf(const QueuedRequest &request) const = 0;

    // Returns the queued request to evict from a full queue in favour of this one, if any.
    virtual std::optional<RequestId> victimFor(const QueuedRequest &request) const = 0;

    // Returns false if the queue has no limit and refuses nothing early.
    virtual bool isBounded() const = 0;
};

} // namespace burdockhead
