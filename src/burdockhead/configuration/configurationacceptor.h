#pragma once

#include <burdockhead/configuration/acceptance.h>
#include <burdockhead/configuration/configurationdistribution.h>
#include <burdockhead/configuration/configurationparser.h>

namespace burdockhead {

// Applies configuration changes through the platform's object API. Thread-safe if the object API
// and the distribution are.
class ConfigurationAcceptor
{
public:
    ConfigurationAcceptor(ObjectApi &platform, ConfigurationDistribution &distribution,
                          ConfigurationParser parser);

    // Replaces the configuration if its version is still baseVersion. Blocks until the deadline at
    // most. A retry with the same nonce never applies the change twice.
    ApplyResult apply(std::uint64_t baseVersion, const std::string &text, const std::string &nonce,
                      TimePoint deadline);

private:
    void takeStep(Acceptance &acceptance, TimePoint deadline);
    void readObject(Acceptance &acceptance, TimePoint callDeadline, TimePoint deadline);
    bool waitForReachableQuorum(TimePoint deadline);
    void writeObject(Acceptance &acceptance, TimePoint deadline);

    ObjectApi &m_platform;
    ConfigurationDistribution &m_distribution;
    ConfigurationParser m_parser;
};

} // namespace burdockhead
