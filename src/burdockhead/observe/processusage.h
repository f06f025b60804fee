#pragma once

namespace burdockhead {

// Processor time and memory used by a process.
struct ProcessUsage
{
    double m_processorSeconds = 0;
    double m_residentBytes = 0;
};

// Returns the usage of this process since its start.
ProcessUsage readProcessUsage();

} // namespace burdockhead
