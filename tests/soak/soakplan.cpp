#include "soakplan.h"

#include <algorithm>
#include <array>

namespace burdockhead::test {

namespace {

constexpr std::array names = {"kill_gateway",
                              "stop_gateway",
                              "pause_gateway",
                              "reload_gateway",
                              "silence_store",
                              "refuse_store",
                              "forget_store",
                              "cut_store",
                              "endpoint_misbehaves",
                              "silence_endpoint",
                              "drop_answers",
                              "reset_endpoint",
                              "replace_endpoint",
                              "leave_endpoint",
                              "take_out",
                              "change_configuration",
                              "revoke_credential",
                              "kill_rank_agent",
                              "stop_rank_agent",
                              "pause_rank_agent",
                              "lose_orders",
                              "delay_orders",
                              "double_orders",
                              "shift_demand",
                              "kill_entry",
                              "stop_entry",
                              "pause_entry",
                              "kill_endpoint_agent",
                              "stop_endpoint_agent",
                              "pause_endpoint_agent",
                              "stop_platform",
                              "lose_platform_answers",
                              "restore_platform",
                              "turn_cold",
                              "slow_service",
                              "lose_service_answer"};
static_assert(names.size() == static_cast<std::size_t>(FaultType::LoseServiceAnswer) + 1);

// Gaps between faults, and how long each lasts, in milliseconds.
constexpr unsigned longestGap = 700;
constexpr unsigned shortestFault = 200;
constexpr unsigned longestFault = 2500;
// What leaves stays away for so much longer than gateways may take to know it.
constexpr Milliseconds knowingTime{2500};

} // namespace

const char *toString(FaultType type)
{
    return names.at(static_cast<std::size_t>(type));
}

std::string Fault::toString() const
{
    return std::to_string(m_at.count()) + " ms for " + std::to_string(m_for.count())
           + " ms: " + test::toString(m_type) + " " + std::to_string(m_which);
}

std::vector<FaultType> faultTypes(FaultType first, FaultType last)
{
    std::vector<FaultType> types;
    for (int type = static_cast<int>(first); type <= static_cast<int>(last); ++type)
        types.push_back(static_cast<FaultType>(type));
    return types;
}

std::vector<Fault> planSoak(std::uint64_t seed, const std::vector<FaultType> &types,
                            Milliseconds span, Milliseconds calm)
{
    Random random(seed);
    std::vector<Fault> faults;
    Milliseconds at{500};
    while (at + Milliseconds(longestFault) < span - calm) {
        Fault fault;
        fault.m_type = types[random() % types.size()];
        fault.m_at = at;
        fault.m_for = Milliseconds(shortestFault + random() % (longestFault - shortestFault));
        fault.m_which = static_cast<unsigned>(random() % 1000);
        if (fault.m_type == FaultType::LeaveEndpoint || fault.m_type == FaultType::TakeOut)
            fault.m_for = std::min(fault.m_for + knowingTime, span - calm - at);
        faults.push_back(fault);
        // Some come in series of the same kind, on the same thing.
        if (random() % 5 == 0) {
            fault.m_at += Milliseconds(random() % 200);
            faults.push_back(fault);
        }
        at += Milliseconds(random() % longestGap);
    }
    return faults;
}

std::vector<Fault> planTakeovers(std::uint64_t seed, Milliseconds span, Milliseconds calm)
{
    constexpr Milliseconds gap{2600};
    constexpr Milliseconds restart{300};
    constexpr Milliseconds pause{2000};
    constexpr unsigned coordinators = 3;
    Random random(seed);
    std::vector<Fault> faults;
    for (Milliseconds at{500}; at + gap < span - calm; at += gap) {
        faults.push_back({FaultType::ShiftDemand, at, Milliseconds(0), 0});
        // Even numbers name the agents of the first ranks; most often that of the first standby.
        const unsigned rank =
            random() % 8 != 0 ? 1 : static_cast<unsigned>(random() % coordinators);
        const bool isPause = random() % 8 == 0;
        faults.push_back({isPause ? FaultType::PauseRankAgent : FaultType::KillRankAgent,
                          at + Milliseconds(random() % 300), isPause ? pause : restart, 2 * rank});
    }
    return faults;
}

} // namespace burdockhead::test
