#pragma once

#include <burdockhead/routing/circuitbreaker.h>
#include <burdockhead/routing/prefixsketch.h>
#include <burdockhead/routing/replicaannouncement.h>
#include <burdockhead/routing/replicaload.h>

#include <cstdint>
#include <optional>

namespace burdockhead {

// A replica's place in the table; valid until the next configuration is applied.
using ReplicaIndex = std::uint32_t;

// The place of a group or data centre in the table; valid as long.
using GroupIndex = std::uint32_t;
using DataCentreIndex = std::uint32_t;

// What the configuration says of a replica.
struct ReplicaPlacement
{
    GroupIndex m_group = 0;
    DataCentreIndex m_dataCentre = 0;
    std::uint32_t m_coldLimit = 1;
    std::uint32_t m_warmLimit = 1;
    std::uint32_t m_queueLimit = 0;
    bool m_leaving = false;

    friend bool operator==(const ReplicaPlacement &, const ReplicaPlacement &) = default;
};

// One endpoint with its agent: what is configured, announced, reported and observed.
struct Replica
{
    EndpointName m_name;
    std::optional<ReplicaPlacement> m_placement; // None when it isn't configured.
    std::optional<ReplicaAnnouncement> m_announcement;
    bool m_left = false;     // This incarnation was announced as leaving; it can't return.
    bool m_eligible = false; // By configuration and announcement it may receive work.
    ReplicaLoad m_load;
    CircuitBreaker m_breaker;
    PrefixSketch m_prefixes;
    PrefixSketch m_adapters;

    // Whether it must be taken for cold: it says so, or nothing was heard of this incarnation.
    bool isCold() const { return !m_load.reportedAt() || m_load.report().m_isCold; }

    // Whether it may receive new work, whatever its load.
    bool mayReceive() const { return m_eligible && !m_load.report().m_isLeaving; }

    // Requests that it runs at a time, as last reported or else as configured.
    std::uint32_t limit() const;
};

} // namespace burdockhead
