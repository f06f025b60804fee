#pragma once

#include <burdockhead/routing/circuitbreaker.h>
#include <burdockhead/routing/prefixsketch.h>
#include <burdockhead/routing/replicaannouncement.h>
#include <burdockhead/routing/replicaload.h>

#include <cstdint>
#include <optional>

namespace burdockhead {

// Index of a replica in the table; valid until the next configuration is applied.
using ReplicaIndex = std::uint32_t;

// Index of a group or data centre in the table; valid equally long.
using GroupIndex = std::uint32_t;
using DataCentreIndex = std::uint32_t;

// Configured attributes of a replica: its group, data centre and limits.
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

// This entry's state of one endpoint and its agent: configured, announced, reported and observed.
// An entry has one replica for each endpoint that it knows.
struct Replica
{
    EndpointName m_name;
    std::optional<ReplicaPlacement> m_placement; // None if it isn't configured.
    std::optional<ReplicaAnnouncement> m_announcement;
    bool m_hasLeft = false;    // This incarnation was announced as leaving, which is final.
    bool m_isEligible = false; // Configuration and announcement permit new work.
    ReplicaLoad m_load;
    CircuitBreaker m_breaker;
    PrefixSketch m_prefixes;
    PrefixSketch m_adapters;

    // Returns whether the replica counts as cold: it reports so, or this incarnation has not
    // reported.
    bool isCold() const { return !m_load.reportedAt() || m_load.report().m_isCold; }

    // Returns whether the replica may receive new work, regardless of its load.
    bool mayReceiveWork() const { return m_isEligible && !m_load.report().m_isLeaving; }

    // Returns the concurrency limit: the last reported one, or the configured one if there is none.
    std::uint32_t limit() const;
};

} // namespace burdockhead
