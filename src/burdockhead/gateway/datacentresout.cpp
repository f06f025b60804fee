#include <burdockhead/gateway/datacentresout.h>

namespace burdockhead {

namespace {

// In which operators write again what was lost.
constexpr Seconds maxHoldTime{10};

} // namespace

void DataCentresOut::applyList(const std::set<DataCentreName> &listed, bool isRestored,
                               TimePoint now)
{
    for (const DataCentreName &name : m_out) {
        if (isRestored && !listed.contains(name))
            m_heldUntil.try_emplace(name, now + maxHoldTime);
    }
    for (const DataCentreName &name : listed)
        m_heldUntil.erase(name);
    m_out = listed;
    for (const auto &[name, until] : m_heldUntil)
        m_out.insert(name);
}

void DataCentresOut::applyChange(const DataCentreName &name, bool isOut)
{
    m_heldUntil.erase(name);
    if (isOut)
        m_out.insert(name);
    else
        m_out.erase(name);
}

void DataCentresOut::hold(const DataCentreName &name, TimePoint until)
{
    m_heldUntil.try_emplace(name, until);
    m_out.insert(name);
}

void DataCentresOut::removeExpired(TimePoint now)
{
    for (auto item = m_heldUntil.begin(); item != m_heldUntil.end();) {
        if (now < item->second) {
            ++item;
            continue;
        }
        m_out.erase(item->first);
        item = m_heldUntil.erase(item);
    }
}

} // namespace burdockhead
