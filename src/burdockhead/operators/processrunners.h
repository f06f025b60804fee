#pragma once

#include <burdockhead/settings/processsettings.h>

namespace burdockhead {

// The functions that run an entry and an agent until they are stopped. They return the
// exit status.
struct ProcessRunners
{
    int (*m_runEntry)(const EntrySettings &);
    int (*m_runAgent)(const AgentSettings &);
};

} // namespace burdockhead
