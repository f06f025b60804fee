#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <chrono>

namespace burdockhead {

// How far a data centre is, there and back.
struct DataCentreDistance
{
    DataCentreName m_dataCentre;
    std::chrono::microseconds m_roundTrip{0};

    friend bool operator==(const DataCentreDistance &, const DataCentreDistance &) = default;
};

} // namespace burdockhead
