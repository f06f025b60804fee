#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/gatewayconfiguration.h>

#include <cstdint>
#include <optional>

namespace burdockhead {

// Decides which configuration is in force. Versions only rise, also when the store comes back from
// an older copy: what was acknowledged stays in force until the store has it or a higher version
// again. If another change was written meanwhile, the same version may come with other content; the
// one of the newer era is in force.
class ConfigurationInForce
{
public:
    // Offers a configuration that the store has, or had, in that era. Returns whether it is in
    // force from now on.
    bool offer(const GatewayConfigurationPointer &configuration, std::uint64_t era);

    // Null before the first.
    const GatewayConfigurationPointer &current() const { return m_current; }
    std::uint64_t era() const { return m_era; }

    // Records the version that the store has, none if it has no configuration.
    void recordStored(std::optional<std::uint64_t> version, TimePoint now);

    // Returns since when the store lacks the configuration in force; none if it has it.
    std::optional<TimePoint> missingSince() const { return m_missingSince; }

private:
    GatewayConfigurationPointer m_current;
    std::uint64_t m_era = 0; // The newest in which the store had it.
    std::optional<TimePoint> m_missingSince;
};

} // namespace burdockhead
