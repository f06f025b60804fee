#pragma once

#include <burdockhead/base/requestid.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace burdockhead {

class RequestFlow;

// Holds the flows of an entry until they end. Thread-safe.
class FlowRegistry
{
public:
    // Keeps a flow; false when so many are open already, or the registry is closed.
    bool add(const std::shared_ptr<RequestFlow> &flow, std::size_t limit);

    void remove(const RequestId &id);

    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, std::shared_ptr<RequestFlow>> m_flows;
};

} // namespace burdockhead
