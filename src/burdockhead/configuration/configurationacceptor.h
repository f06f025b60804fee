#pragma once

#include <burdockhead/configuration/acceptance.h>
#include <burdockhead/configuration/configurationdistribution.h>
#include <burdockhead/configuration/configurationparser.h>

namespace burdockhead {

// Carries changes of the configuration to their outcome over the platform's object API.
// Safe to use from any thread if the object API and the spread are.
class ConfigurationAcceptor
{
public:
    ConfigurationAcceptor(ObjectApi &platform, ConfigurationDistribution &spread,
                          ConfigurationParser parser);

    // Replaces the configuration if its version is still baseVersion; blocks until the
    // deadline at most. Asking again with the same nonce never makes the change twice.
    ApplyResult apply(std::uint64_t baseVersion, const std::string &text, const std::string &nonce,
                      TimePoint deadline);

private:
    void takeStep(Acceptance &acceptance, TimePoint deadline);
    void read(Acceptance &acceptance, TimePoint deadline);
    void write(Acceptance &acceptance, TimePoint deadline);

    ObjectApi &m_platform;
    ConfigurationDistribution &m_spread;
    ConfigurationParser m_parser;
};

} // namespace burdockhead
