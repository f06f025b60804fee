#pragma once

#include <burdockhead/base/name.h>

#include <string_view>
#include <vector>

namespace burdockhead {

// Chooses `count` of the candidates for a key by highest hash, best first. Every process
// that knows the same candidates chooses the same, and the loss of one candidate changes
// only the choices that held it.
std::vector<ProcessName> chooseByRendezvous(std::string_view key,
                                            const std::vector<ProcessName> &candidates,
                                            std::size_t count);

} // namespace burdockhead
