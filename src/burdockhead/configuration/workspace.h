#pragma once

#include <burdockhead/base/name.h>

#include <cstdint>

namespace burdockhead {

// A workspace, with its share of each group's capacity relative to the other workspaces.
struct Workspace
{
    WorkspaceName m_name;
    std::uint32_t m_share = 1;

    friend bool operator==(const Workspace &, const Workspace &) = default;
};

} // namespace burdockhead
