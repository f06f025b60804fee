#pragma once

#include <burdockhead/base/name.h>

namespace burdockhead {

// A data centre as the operators declare it.
struct DataCentre
{
    DataCentreName m_name;
    bool m_takenOut = false; // No endpoint or entry in it receives new work.

    friend bool operator==(const DataCentre &, const DataCentre &) = default;
};

} // namespace burdockhead
