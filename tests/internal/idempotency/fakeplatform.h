#pragma once

#include <burdockhead/platform/objectapi.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace burdockhead {

// What the fake platform does with a call.
enum class PlatformFault {
    None,
    Down,       // Not applied, not answered.
    LostAnswer, // Applied, not answered.
};

// An object API in memory that fails as told.
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
        return {true, found == m_objects.end() ? std::nullopt : std::optional(found->second)};
    }

    WriteAnswer write(const PlatformObject &object, TimePoint) override
    {
        const PlatformFault fault = nextFault();
        std::this_thread::sleep_for(m_latency);
        const std::scoped_lock lock(m_mutex);
        ++m_writes;
        if (fault == PlatformFault::Down)
            return {};
        PlatformObject &held = m_objects[object.m_kind + "/" + object.m_name];
        const bool applied = held.m_version == object.m_version;
        if (applied) {
            held = object;
            ++held.m_version;
        }
        if (fault == PlatformFault::LostAnswer)
            return {};
        return {applied ? WriteResult::Applied : WriteResult::Conflict, held.m_version};
    }

    ReadAnswer watch(const std::string &kind, const std::string &name, std::uint64_t,
                     TimePoint deadline) override
    {
        return read(kind, name, deadline);
    }

    std::optional<std::vector<Vm>> listVms(TimePoint) override { return std::nullopt; }

    std::function<PlatformFault()> m_faults; // Decides the next call's fault; none: no faults.
    std::chrono::microseconds m_latency{0};
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;

private:
    PlatformFault nextFault() const { return m_faults ? m_faults() : PlatformFault::None; }

    std::mutex m_mutex;
    std::map<std::string, PlatformObject> m_objects;
};

// Resends a write that got no answer over whatever the object has become.
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
        const WriteAnswer answer = m_api.write(object, deadline);
        if (answer.m_result != WriteResult::Unknown)
            return answer;
        const ReadAnswer current = m_api.read(object.m_kind, object.m_name, deadline);
        PlatformObject again = object;
        again.m_version = current.m_object ? current.m_object->m_version : 0;
        return m_api.write(again, deadline);
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
