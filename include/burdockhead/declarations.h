#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead::declare {

// Declarations of a deployment. The defaults are those that docs/KEYS.md lists.

// A data centre. The commands take-out and bring-back refer to it by name.
struct DataCentre
{
    std::string m_name;
    bool m_takenOut = false;
};

// Whether a request may run more than once.
enum class Repeatable {
    Yes, // Retries and hedged attempts are allowed.
    No,  // Runs at most once, because it has side effects such as a payment or a record.
};

// A kind of request and how it is scheduled.
struct Kind
{
    std::string m_name;
    Repeatable m_repeatable = Repeatable::No;
    std::uint32_t m_weight = 1;
    std::uint32_t m_priority = 1;
    std::chrono::milliseconds m_deadline{30000};
};

// A workspace and its relative share of the capacity of each group.
struct Workspace
{
    std::string m_name;
    std::uint32_t m_share = 1;
};

// Limits on the requests of an endpoint: running while cold, running while warm, and queued.
struct Limits
{
    std::uint32_t m_cold = 1;
    std::uint32_t m_warm = 8;
    std::uint32_t m_queue = 16;
};

// A model group, whose ranks run in lockstep on one expert map.
struct ModelGroup
{
    std::string m_name;
    std::string m_model;
    std::vector<std::string> m_adapters;
    std::vector<std::string> m_kinds;
    Limits m_limits;
    std::uint32_t m_ranks = 1;
    std::uint32_t m_layers = 1;
    std::uint32_t m_expertsPerLayer = 1;
    std::uint32_t m_expertSlotsPerRank = 1;
};

// A service whose replicas are independent of each other.
struct Service
{
    std::string m_name;
    std::vector<std::string> m_kinds;
    Limits m_limits;
};

// Whether an endpoint itself rejects orders with a stale fencing number.
enum class ChecksFencing {
    No,
    Yes,
};

// An endpoint: a rank of a model group or a replica of a service.
struct Endpoint
{
    std::string m_name;
    std::string m_group;
    std::string m_dataCentre;
    std::uint32_t m_rank = 0;
    ChecksFencing m_checksFencing = ChecksFencing::No;
    bool m_leaving = false;
};

} // namespace burdockhead::declare
