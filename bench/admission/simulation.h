#pragma once

#include <burdockhead/admission/admissioncontroller.h>
#include <burdockhead/base/random.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace burdockhead {

// Parameters of a simulation of one endpoint behind an admission controller, in virtual time.
struct SimulationSettings
{
    AdmissionLimits m_limits;
    bool m_isFifo = false;      // Uses the unlimited FIFO queue.
    double m_meanService = 0.2; // Seconds; exponentially distributed.
    double m_heavyRate = 0;     // Requests per second of the heavy workspace.
    double m_lightRate = 0;     // Requests per second of each light workspace.
    int m_lightWorkspaces = 9;
    Duration m_requestTimeout = Seconds(2); // From arrival to deadline.
    Duration m_length = Seconds(120);
    std::optional<Duration> m_coldRestartAt; // When the endpoint restarts cold without a signal.
    std::uint64_t m_seed = 1;
};

// Counts and samples of one simulation run.
struct SimulationResult
{
    std::uint64_t m_offered = 0;
    std::uint64_t m_inTime = 0;
    std::uint64_t m_late = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_probes = 0;
    double m_worstLightInTime = 1;             // Smallest fraction in time of any light workspace.
    double m_heavyInTime = 0;                  // Fraction in time of the heavy workspace.
    std::vector<double> m_refusalSeconds;      // From arrival to refusal.
    std::vector<double> m_waitSeconds;         // From arrival to start.
    std::vector<double> m_retryDelaySeconds;   // From refusal to the retry time.
    double m_warmAfterSeconds = 0;             // From the cold restart to the warm limit.
    std::uint32_t m_startedWhileUnnoticed = 0; // Started between the restart and its detection.
};

// Simulates one endpoint and its clients.
class Simulation
{
public:
    explicit Simulation(const SimulationSettings &settings);

    SimulationResult run();

private:
    enum class EventType {
        Arrival,
        Completion,
        ProbeResponse,
        ColdRestart,
        Tick,
    };

    struct Event
    {
        TimePoint m_at;
        EventType m_type = EventType::Arrival;
        int m_workspace = 0;
        RequestId m_id{};
        std::uint64_t m_probeNumber = 0;
        std::uint64_t m_boot = 0;

        friend bool operator>(const Event &left, const Event &right)
        {
            return left.m_at > right.m_at;
        }
    };

    struct Caller
    {
        int m_workspace = 0;
        TimePoint m_arrivedAt;
        TimePoint m_deadline;
        std::uint64_t m_boot = 0;
    };

    Duration drawInterval(double meanSeconds);
    double rateOf(int workspace) const;
    void handle(const Event &event);
    void arrive(int workspace);
    void complete(const Event &event);
    void coldRestart();
    void start(const RequestId &id);
    void refuse(const RequestId &id, TimePoint retryAfter);
    void apply(const std::vector<AdmissionAction> &actions);
    EndpointHealth health(std::uint64_t boot) const;

    SimulationSettings m_settings;
    AdmissionController m_controller;
    Random m_random;
    TimePoint m_now;
    TimePoint m_end;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::unordered_map<RequestId, Caller> m_callers;
    std::vector<std::uint64_t> m_offered;
    std::vector<std::uint64_t> m_inTime;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_boot = 1;
    std::optional<TimePoint> m_coldRestartedAt;
    bool m_isNoticed = false;
    std::uint32_t m_startedSinceColdRestart = 0;
    SimulationResult m_result;
};

} // namespace burdockhead
