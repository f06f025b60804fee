#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <map>
#include <set>

namespace burdockhead {

// Decides which data centres are out of service. One that was taken out stays out when the store
// comes back from a copy that doesn't say so, until the operators have written again: until it was
// seen to be out once more, or for a limited time.
class DataCentresOut
{
public:
    // Applies the store's complete list, which may be the first after it was restored.
    void applyList(const std::set<DataCentreName> &listed, bool isRestored, TimePoint now);

    // Applies a change that the store reports.
    void applyChange(const DataCentreName &name, bool isOut);

    // Takes over what another gateway holds out although the store doesn't say so.
    void hold(const DataCentreName &name, TimePoint until);

    // Ends what was held out for too long.
    void removeExpired(TimePoint now);

    const std::set<DataCentreName> &names() const { return m_out; }

    // Returns those that are out although the store doesn't say so, and until when.
    const std::map<DataCentreName, TimePoint> &held() const { return m_heldUntil; }

private:
    std::set<DataCentreName> m_out;
    std::map<DataCentreName, TimePoint> m_heldUntil;
};

} // namespace burdockhead
