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

// Objects shared by all request flows of an entry. Each must outlive every flow.
struct RequestFlowDependencies
{
    WorkerPool &m_pool;
    AgentLinks &m_links;
    Guarded<EntryRouter> &m_router;
    Guarded<ReplicaDirectory> &m_directory;
    KeyBinder &m_keyBinder;
    FlowObserver &m_observer;
    EventRing &m_events;
    std::uint64_t m_issuer = 0;                    // Identifies this entry in attempt IDs.
    std::atomic<std::uint64_t> m_lastSequence = 0; // Of the latest attempt ID.
};

} // namespace burdockhead
