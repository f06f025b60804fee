#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/requestid.h>
#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockhead {

// A request that runs at the endpoint.
struct RunningRequest
{
    RequestId m_id;
    KindName m_kind;
    bool m_repeatable = true;
    std::uint64_t m_epoch = 0; // Of the cold start limiter when the request was started.
    TimePoint m_startedAt;

    friend bool operator==(const RunningRequest &, const RunningRequest &) = default;
};

// Tracks the requests at the endpoint whose end is not confirmed.
class RunningRequests
{
public:
    // Adds a request that was just started.
    void add(const RunningRequest &request);

    // Removes and returns a request that has ended; none if it isn't tracked.
    std::optional<RunningRequest> remove(const RequestId &id);

    bool contains(const RequestId &id) const { return m_requests.contains(id); }

    std::size_t size() const { return m_requests.size(); }

    // Selects repeatable requests to cancel, the most recently started first, until at most
    // `limit` requests remain. Each is selected once, and counts in size() until it is removed.
    std::vector<RequestId> cancelExcess(std::size_t limit);

private:
    struct TrackedRequest
    {
        RunningRequest m_request;
        std::uint64_t m_startOrder = 0;
        bool m_isCancelling = false;
    };

    std::unordered_map<RequestId, TrackedRequest> m_requests;
    std::uint64_t m_lastStartOrder = 0;
};

} // namespace burdockhead
