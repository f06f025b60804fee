#pragma once

#include <burdockhead/configuration/configurationparser.h>
#include <burdockhead/membership/membershiptable.h>

namespace burdockhead {

// How often a node talks, and how long evidence lasts.
struct NodeTimes
{
    Milliseconds m_entryRound{500};      // Between an entry's rounds of exchanges.
    Milliseconds m_heartbeat{1500};      // Between an agent's heartbeats.
    Milliseconds m_hurry{250};           // Between them while the node is not current.
    Milliseconds m_callLimit{500};       // For one exchange.
    Milliseconds m_silence{5000};        // After which an agent is suspected.
    Milliseconds m_currencyWindow{2800}; // How long a claim keeps a process current.
    Milliseconds m_claimAge{1000};       // Watchers ask other data centres beyond this age.
};

// What a MembershipNode is made with.
struct NodeOptions
{
    MemberRecord m_self;
    ConfigurationParser m_parser;
    NodeTimes m_times;
    MembershipTimes m_membershipTimes;
};

} // namespace burdockhead
