#pragma once

#include <burdockhead/base/name.h>

namespace burdockhead {

// A data centre of the configuration.
struct DataCentre
{
    DataCentreName m_name;
    bool m_takenOut = false; // Its endpoints and entries receive no new work.

    friend bool operator==(const DataCentre &, const DataCentre &) = default;
};

} // namespace burdockhead
