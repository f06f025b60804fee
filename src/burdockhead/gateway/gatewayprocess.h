#pragma once

#include <burdockhead/gateway/callprotocol.h>
#include <burdockhead/gateway/storeprotocol.h>
#include <burdockhead/settings/processsettings.h>

#include <functional>
#include <optional>

namespace burdockhead {

// What a gateway speaks with clients, endpoints and the platform's store.
struct GatewayProtocols
{
    const CallProtocol &m_calls;
    const StoreProtocol &m_store;
};

// Runs a gateway until SIGTERM or SIGINT, and through its graceful stop. The exit status.
int runGateway(const GatewaySettings &settings, const GatewayProtocols &dialects,
               const std::function<std::optional<GatewaySettings>()> &readSettings);

} // namespace burdockhead
