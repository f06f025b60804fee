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

// A request at the endpoint.
struct RunningRequest
{
    RequestId m_id;
    KindName m_kind;
    bool m_repeatable = true;
    std::uint64_t m_epoch = 0; // The cold start limiter's, at its start.
    TimePoint m_startedAt;

    friend bool operator==(const RunningRequest &, const RunningRequest &) = default;
};

// The requests at the endpoint that are not known to have ended.
class RunningRequests
{
public:
    void add(const RunningRequest &request);

    // Takes out a request that has ended; none when it isn't here.
    std::optional<RunningRequest> remove(const RequestId &id);

    bool contains(const RequestId &id) const { return m_requests.contains(id); }

    std::size_t size() const { return m_requests.size(); }

    // Chooses the repeatable requests to cancel so that no more than the limit stay, the
    // latest started first. Each is chosen once, and counts until it is removed.
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
