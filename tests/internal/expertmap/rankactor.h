#pragma once

#include <burdockhead/expertmap/expertmapagent.h>

#include <memory>

namespace burdockhead {

// What answers a rank's messages in the simulation: the agent, or a naive one.
class RankActor
{
public:
    virtual ~RankActor() = default;
    virtual std::optional<GateMessage> answer(const GateMessage &message, TimePoint now) = 0;
    virtual std::vector<RankMessage> tick(TimePoint now) = 0;
};

using RankActorFactory = std::unique_ptr<RankActor> (*)(std::uint32_t rank, std::uint32_t rankCount,
                                                        StepEngine &engine);

// The agent itself.
std::unique_ptr<RankActor> makeAgent(std::uint32_t rank, std::uint32_t rankCount,
                                     StepEngine &engine);

// Switches when it is told to prepare, without promises.
std::unique_ptr<RankActor> makeSwitchAtOnce(std::uint32_t rank, std::uint32_t rankCount,
                                            StepEngine &engine);

// Promises, but goes on with the old map when no verdict came before a lease lapsed.
std::unique_ptr<RankActor> makeLeaseHolder(std::uint32_t rank, std::uint32_t rankCount,
                                           StepEngine &engine);

// Votes again after a restart as if it had not voted.
std::unique_ptr<RankActor> makeForgetful(std::uint32_t rank, std::uint32_t rankCount,
                                         StepEngine &engine);

} // namespace burdockhead
