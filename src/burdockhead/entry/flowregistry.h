#pragma once

#include <burdockhead/base/requestid.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace burdockhead {

class RequestFlow;

// Owns the flows of an entry until they end. Thread-safe.
class FlowRegistry
{
public:
    // Adds a flow. Returns false when the number of open flows has reached the limit.
    bool add(const std::shared_ptr<RequestFlow> &flow, std::size_t limit);

    void remove(const RequestId &id);

    std::size_t size() const;

    // Ends all flows because the entry ends, each with a response.
    void endAll();

private:
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, std::shared_ptr<RequestFlow>> m_flows;
};

} // namespace burdockhead
