#pragma once

#include <burdockhead/platform/objectapi.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace burdockhead {

// Fault that the fake platform injects into a call.
enum class PlatformFault {
    None,
    Down,      // Not applied, no reply.
    LostReply, // Applied, no reply.
};

// An in-memory object API with injected faults.
class FakePlatform : public ObjectApi
{
public:
    ReadAnswer read(const std::string &kind, const std::string &name, TimePoint) override
    {
        const PlatformFault fault = nextFault();
        std::this_thread::sleep_for(m_latency);
        const std::scoped_lock lock(m_mutex);
        ++m_reads;
        if (fault != PlatformFault::None)
            return {};
        const auto found = m_objects.find(kind + "/" + name);
        return {true, found == m_objects.end() ? std::nullopt : std::optional(found->second),
                m_era};
    }

    WriteAnswer write(const PlatformObject &object, TimePoint) override
    {
        const PlatformFault fault = nextFault();
        std::this_thread::sleep_for(m_latency);
        const std::scoped_lock lock(m_mutex);
        ++m_writes;
        if (fault == PlatformFault::Down)
            return {};
        PlatformObject &stored = m_objects[object.m_kind + "/" + object.m_name];
        const bool applied = stored.m_version == object.m_version;
        if (applied) {
            stored = object;
            ++stored.m_version;
        }
        if (fault == PlatformFault::LostReply)
            return {};
        return {applied ? WriteResult::Applied : WriteResult::Conflict, stored.m_version,
                namedEra()};
    }

    // Takes a copy of all objects, and comes back from it in the next era.
    void takeCopy()
    {
        const std::scoped_lock lock(m_mutex);
        m_copy = m_objects;
    }
    void restoreCopy()
    {
        const std::scoped_lock lock(m_mutex);
        m_objects = m_copy;
        ++m_era;
    }

    ReadAnswer watch(const std::string &kind, const std::string &name, std::uint64_t,
                     TimePoint deadline) override
    {
        return read(kind, name, deadline);
    }

    std::optional<std::vector<Vm>> listVms(TimePoint) override { return std::nullopt; }

    std::function<PlatformFault()> m_faults; // Returns the next call's fault; if empty, no faults.
    std::chrono::microseconds m_latency{0};
    bool m_namesEra = true;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;

private:
    std::uint64_t namedEra() const { return m_namesEra ? m_era : 0; }
    PlatformFault nextFault() const { return m_faults ? m_faults() : PlatformFault::None; }

    std::mutex m_mutex;
    std::map<std::string, PlatformObject> m_objects;
    std::map<std::string, PlatformObject> m_copy;
    std::uint64_t m_era = 1;
};

// A faulty client: resends a write that got no reply with the object's current version as its base,
// so that it overwrites a later change.
class BlindResend : public ObjectApi
{
public:
    explicit BlindResend(ObjectApi &api)
        : m_api(api)
    {}
    ReadAnswer read(const std::string &kind, const std::string &name, TimePoint deadline) override
    {
        return m_api.read(kind, name, deadline);
    }
    WriteAnswer write(const PlatformObject &object, TimePoint deadline) override
    {
        const WriteAnswer reply = m_api.write(object, deadline);
        if (reply.m_result != WriteResult::Unknown)
            return reply;
        const ReadAnswer current = m_api.read(object.m_kind, object.m_name, deadline);
        PlatformObject resent = object;
        resent.m_version = current.m_object ? current.m_object->m_version : 0;
        return m_api.write(resent, deadline);
    }
    ReadAnswer watch(const std::string &kind, const std::string &name, std::uint64_t after,
                     TimePoint deadline) override
    {
        return m_api.watch(kind, name, after, deadline);
    }
    std::optional<std::vector<Vm>> listVms(TimePoint deadline) override
    {
        return m_api.listVms(deadline);
    }

private:
    ObjectApi &m_api;
};

} // namespace burdockhead
