#pragma once

#include <burdockhead/gateway/calldialect.h>
#include <burdockhead/gateway/storedialect.h>
#include <burdockhead/settings/processsettings.h>

#include <functional>
#include <optional>

namespace burdockhead {

// What a gateway speaks with clients, endpoints and the platform's store.
struct GatewayDialects
{
    const CallDialect &m_calls;
    const StoreDialect &m_store;
};

// Runs a gateway until SIGTERM or SIGINT, and through its graceful stop. The exit status.
int runGateway(const GatewaySettings &settings, const GatewayDialects &dialects,
               const std::function<std::optional<GatewaySettings>()> &readSettings);

} // namespace burdockhead
