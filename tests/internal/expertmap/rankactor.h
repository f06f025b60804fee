#pragma once

#include <burdockhead/expertmap/expertmapagent.h>

#include <memory>

namespace burdockhead {

// Message handler of a rank in the simulation: the agent, or a faulty variant.
class RankActor
{
public:
    virtual ~RankActor() = default;
    virtual std::optional<MapChangeMessage> handleMessage(const MapChangeMessage &message,
                                                          TimePoint now) = 0;
    virtual std::vector<RankMessage> tick(TimePoint now) = 0;
};

using RankActorFactory = std::unique_ptr<RankActor> (*)(std::uint32_t rank, std::uint32_t rankCount,
                                                        StepEngine &engine);

// Creates the agent itself.
std::unique_ptr<RankActor> makeAgent(std::uint32_t rank, std::uint32_t rankCount,
                                     StepEngine &engine);

// Creates an agent that switches maps on PrepareSwitch, without promises.
std::unique_ptr<RankActor> makeImmediateSwitchAgent(std::uint32_t rank, std::uint32_t rankCount,
                                                    StepEngine &engine);

// Creates an agent that withdraws a promise when no outcome arrives before a lease expires.
std::unique_ptr<RankActor> makeLeaseAgent(std::uint32_t rank, std::uint32_t rankCount,
                                          StepEngine &engine);

// Creates an agent that loses its votes in a restart and may vote again.
std::unique_ptr<RankActor> makeForgettingAgent(std::uint32_t rank, std::uint32_t rankCount,
                                               StepEngine &engine);

} // namespace burdockhead
