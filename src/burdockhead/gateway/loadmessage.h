#pragma once

#include <burdockhead/gateway/gatewayload.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Encode and decode a datagram with load reports; none if the bytes are malformed or another kind
// of datagram.
std::string writeLoadMessage(const std::vector<GatewayLoad> &reports);
std::optional<std::vector<GatewayLoad>> readLoadMessage(std::string_view datagram);

} // namespace burdockhead
