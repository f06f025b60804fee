#include "soakplan.h"

#include <array>

namespace burdockhead::test {

namespace {

constexpr std::array<const char *, faultTypes> names = {
    "kill_gateway",        "stop_gateway",     "pause_gateway", "reload_gateway",
    "silence_store",       "refuse_store",     "forget_store",  "cut_store",
    "endpoint_misbehaves", "silence_endpoint", "drop_answers",  "reset_endpoint",
    "replace_endpoint",    "leave_endpoint",   "take_out",      "change_configuration",
    "revoke_credential"};

// Gaps between faults, and how long each lasts, in milliseconds.
constexpr unsigned longestGap = 700;
constexpr unsigned shortestFault = 200;
constexpr unsigned longestFault = 2500;

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

std::vector<Fault> planSoak(std::uint64_t seed, Milliseconds span, Milliseconds calm)
{
    Random random(seed);
    std::vector<Fault> faults;
    Milliseconds at{500};
    while (at + Milliseconds(longestFault) < span - calm) {
        Fault fault;
        fault.m_type = static_cast<FaultType>(random() % faultTypes);
        fault.m_at = at;
        fault.m_for = Milliseconds(shortestFault + random() % (longestFault - shortestFault));
        fault.m_which = static_cast<unsigned>(random() % 1000);
        faults.push_back(fault);
        // Some come in series of the same kind, on the same thing.
        if (random() % 5 == 0) {
            fault.m_at += Milliseconds(random() % 300);
            faults.push_back(fault);
        }
        at += Milliseconds(random() % longestGap);
    }
    return faults;
}

} // namespace burdockhead::test
