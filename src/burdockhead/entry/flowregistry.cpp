#include <burdockhead/entry/flowregistry.h>
#include <burdockhead/entry/requestflow.h>

#include <vector>

namespace burdockhead {

bool FlowRegistry::add(const std::shared_ptr<RequestFlow> &flow, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    if (m_flows.size() >= limit)
        return false;
    m_flows.emplace(flow->attributes().m_id, flow);
    return true;
}

void FlowRegistry::remove(const RequestId &id)
{
    // Declared before the lock so that the flow is destroyed after the lock's release.
    std::shared_ptr<RequestFlow> removed;
    const std::lock_guard lock(m_mutex);
    const auto found = m_flows.find(id);
    if (found == m_flows.end())
        return;
    removed = std::move(found->second);
    m_flows.erase(found);
}

std::size_t FlowRegistry::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_flows.size();
}

void FlowRegistry::endAll()
{
    std::vector<std::shared_ptr<RequestFlow>> flows;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, flow] : m_flows)
            flows.push_back(flow);
    }
    for (const auto &flow : flows)
        flow->endForStop();
}

} // namespace burdockhead
