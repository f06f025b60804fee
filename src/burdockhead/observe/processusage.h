#pragma once

namespace burdockhead {

// What a process has used of its VM.
struct ProcessUsage
{
    double m_processorSeconds = 0;
    double m_residentBytes = 0;
};

// What this process has used so far.
ProcessUsage readProcessUsage();

} // namespace burdockhead
