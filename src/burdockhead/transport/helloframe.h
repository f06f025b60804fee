#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>

#include <cstdint>

namespace burdockhead {

// The first frame on a link, from both ends.
struct HelloFrame
{
    ProcessName m_process;
    Incarnation m_incarnation;
    std::uint64_t m_configurationVersion = 0;

    friend bool operator==(const HelloFrame &, const HelloFrame &) = default;
};

} // namespace burdockhead
