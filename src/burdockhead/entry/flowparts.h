#pragma once

#include <burdockhead/base/guarded.h>
#include <burdockhead/entry/flowobserver.h>
#include <burdockhead/entry/replicadirectory.h>
#include <burdockhead/routing/entryrouter.h>

#include <atomic>
#include <cstdint>

namespace burdockhead {

class AgentLinks;
class EventRing;
class KeyBinder;
class WorkerPool;

// What the flows of one entry share. Everything here outlives every flow.
struct FlowParts
{
    WorkerPool &m_pool;
    AgentLinks &m_links;
    Guarded<EntryRouter> &m_router;
    Guarded<ReplicaDirectory> &m_directory;
    KeyBinder &m_keys;
    FlowObserver &m_observer;
    EventRing &m_events;
    std::uint64_t m_issuer = 0; // Of this entry's attempts.
    std::atomic<std::uint64_t> m_lastSequence = 0;
};

} // namespace burdockhead
