#pragma once

#include <cstdint>
#include <string>

namespace burdockhead {

// One object of the platform's object API. Versions of an object only grow.
struct PlatformObject
{
    std::string m_kind;
    std::string m_name;
    std::uint64_t m_version = 0; // 0 in a write means: create, it must not exist.
    std::string m_value;         // At most a megabyte.

    friend bool operator==(const PlatformObject &, const PlatformObject &) = default;
};

} // namespace burdockhead
