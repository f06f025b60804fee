#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead {

// What a test deployment consists of.
struct DeploymentPlan
{
    std::vector<std::string> m_dataCentres = {"dc-a", "dc-b", "dc-c"};
    unsigned m_entriesPerDataCentre = 1;
    unsigned m_enginesPerDataCentre = 1;
    unsigned m_servicesPerDataCentre = 1;
    std::uint32_t m_coldLimit = 1;
    std::uint32_t m_warmLimit = 8;
    std::uint32_t m_queueLimit = 32;
    std::uint64_t m_tokenMicroseconds = 2000;
    std::uint64_t m_answerHoldMilliseconds = 1000;
    std::uint64_t m_kindDeadlineMilliseconds = 30000;
    std::uint64_t m_drainMilliseconds = 30000; // Of entries.
    std::size_t m_maxDescriptors = 0; // Of entries and agents; 0 for as many as the test may have.
};

} // namespace burdockhead
