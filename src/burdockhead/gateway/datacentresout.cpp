#include <burdockhead/gateway/datacentresout.h>

namespace burdockhead {

namespace {

// Operators that haven't written again by then don't know that they have to.
constexpr Seconds maxHoldTime{600};

} // namespace

void DataCentresOut::applyList(const std::set<DataCentreName> &listed, bool isRestored,
                               TimePoint now)
{
    for (const DataCentreName &name : m_out) {
        if (isRestored && !listed.contains(name))
            hold(name, now);
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

void DataCentresOut::hold(const DataCentreName &name, TimePoint now)
{
    m_heldUntil.try_emplace(name, now + maxHoldTime);
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

std::vector<DataCentreName> DataCentresOut::held() const
{
    std::vector<DataCentreName> names;
    for (const auto &[name, until] : m_heldUntil)
        names.push_back(name);
    return names;
}

} // namespace burdockhead
