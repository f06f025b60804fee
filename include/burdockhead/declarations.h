#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead::declare {

// What operators declare. Members that are not set keep the defaults of the key page.

// A data centre; its name is what take-out and bring-back use.
struct DataCentre
{
    std::string m_name;
    bool m_takenOut = false;
};

// Whether a request may run more than once.
enum class Repeatable {
    Yes, // Retries and second attempts are allowed.
    No,  // A paid or recorded act: runs at most once.
};

// A kind of request.
struct Kind
{
    std::string m_name;
    Repeatable m_repeatable = Repeatable::No;
    std::uint32_t m_weight = 1;
    std::uint32_t m_priority = 1;
    std::chrono::milliseconds m_deadline{30000};
};

// A workspace and its share of each group's capacity, relative to the others.
struct Workspace
{
    std::string m_name;
    std::uint32_t m_share = 1;
};

// How many requests an endpoint takes.
struct Limits
{
    std::uint32_t m_cold = 1;
    std::uint32_t m_warm = 8;
    std::uint32_t m_queue = 16;
};

// A model group: ranks in lock-step on one expert map.
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

// A plain service, whose replicas are each on their own.
struct Service
{
    std::string m_name;
    std::vector<std::string> m_kinds;
    Limits m_limits;
};

// Whether an endpoint refuses orders with an old fencing number by itself.
enum class ChecksFencing {
    No,
    Yes,
};

// One endpoint: a rank of a model group, or a replica of a service.
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
