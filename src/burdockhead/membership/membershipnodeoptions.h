#pragma once

#include <burdockhead/configuration/configurationparser.h>
#include <burdockhead/membership/membershiptable.h>

namespace burdockhead {

// Periods and timeouts of a MembershipNode.
struct MembershipNodeTimes
{
    Milliseconds m_entryRoundPeriod{500};    // Between the exchange rounds of an entry.
    Milliseconds m_heartbeatPeriod{1500};    // Between the heartbeats of an agent.
    Milliseconds m_fastHeartbeatPeriod{250}; // The same while the agent is not current.
    Milliseconds m_callTimeout{500};         // For one message and its reply.
    Milliseconds m_heartbeatTimeout{5000};   // Without a heartbeat an agent is then suspected.
    Milliseconds m_freshnessWindow{2800};    // How long a claim keeps a process current.
    Milliseconds m_maxClaimAge{1000}; // With an older one a round contacts more data centres.
};

// Construction parameters of a MembershipNode.
struct MembershipNodeOptions
{
    MemberRecord m_self;
    ConfigurationParser m_parser;
    MembershipNodeTimes m_times;
    MembershipTableTimeouts m_tableTimeouts;
};

} // namespace burdockhead
