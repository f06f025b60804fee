#pragma once

#include <burdockhead/base/name.h>

#include <string_view>
#include <vector>

namespace burdockhead {

// Chooses up to `count` candidates for a key by rendezvous (highest random weight) hashing,
// best first. Processes that know the same candidates choose the same ones, and the loss of a
// candidate changes only the choices that included it.
std::vector<ProcessName> chooseByRendezvous(std::string_view key,
                                            const std::vector<ProcessName> &candidates,
                                            std::size_t count);

} // namespace burdockhead
