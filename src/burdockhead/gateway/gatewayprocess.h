#pragma once

#include <burdockhead/gateway/callprotocol.h>
#include <burdockhead/gateway/storeprotocol.h>
#include <burdockhead/settings/processsettings.h>

#include <functional>
#include <optional>

namespace burdockhead {

// The protocols that a gateway uses with clients, endpoints and the platform's store.
struct GatewayProtocols
{
    const CallProtocol &m_calls;
    const StoreProtocol &m_store;
};

// Runs a gateway until SIGTERM or SIGINT and its graceful shutdown. Returns the exit status.
int runGateway(const GatewaySettings &settings, const GatewayProtocols &dialects,
               const std::function<std::optional<GatewaySettings>()> &readSettings);

} // namespace burdockhead
