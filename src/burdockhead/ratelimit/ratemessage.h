#pragma once

#include <burdockhead/ratelimit/ratestatement.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Convert statements to and from a datagram that is sent or received at that time; none if it can't
// be read. Times are sent as ages, since the clocks of VMs differ.
std::string writeRateMessage(const std::vector<RateStatement> &statements, TimePoint now);
std::optional<std::vector<RateStatement>> readRateMessage(std::string_view datagram, TimePoint now);

} // namespace burdockhead
