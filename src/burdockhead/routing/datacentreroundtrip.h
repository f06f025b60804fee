#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <chrono>

namespace burdockhead {

// Round-trip time to a data centre.
struct DataCentreRoundTrip
{
    DataCentreName m_dataCentre;
    std::chrono::microseconds m_roundTrip{0};

    friend bool operator==(const DataCentreRoundTrip &, const DataCentreRoundTrip &) = default;
};

} // namespace burdockhead
