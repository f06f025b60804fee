#include "simulation.h"

#include <algorithm>
#include <string>

namespace burdockhead {

namespace {

constexpr std::size_t prefixCount = 400;
constexpr std::chrono::microseconds sameDataCentreDelay{100};
constexpr std::chrono::microseconds otherDataCentreDelay{1500};
constexpr Milliseconds reportInterval{1000};
constexpr Milliseconds cacheEventLag{500};
constexpr double cacheEventLoss = 0.2;
constexpr Milliseconds skewInterval{100};
constexpr Seconds configurationLag{1};
constexpr Seconds drainTime{30};

std::vector<double> zipfWeights()
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= prefixCount; ++rank)
        weights.push_back(1.0 / static_cast<double>(rank));
    return weights;
}

DataCentreName dataCentreName(unsigned number)
{
    return DataCentreName("d" + std::to_string(number));
}

} // namespace

Simulation::Simulation(const SimulationOptions &options)
    : m_options(options)
    , m_random(options.m_seed)
    , m_start(m_events.now())
    , m_incarnations(options.m_replicas, 1)
{
    const std::vector<double> weights = zipfWeights();
    m_prefixes = std::discrete_distribution<std::uint64_t>(weights.begin(), weights.end());
    buildConfiguration();
    for (unsigned number = 0; number < options.m_replicas; ++number)
        m_replicas.push_back(std::make_unique<FakeReplica>(
            m_events, [this, number](std::uint64_t prefix, bool stored) {
                publishCacheEvent(number, prefix, stored);
            }));
    for (unsigned entry = 0; entry < options.m_entryCount; ++entry) {
        RouterOptions router = options.m_router;
        router.m_entryCount = options.m_entryCount;
        router.m_localDataCentre = dataCentreName(entry % dataCentres);
        m_routers.emplace_back(router, Random(options.m_seed * 1000 + entry));
        m_routers.back().applyConfiguration(std::make_shared<VersionedConfiguration>(
            VersionedConfiguration{m_version, {}, m_configuration}));
    }
    for (unsigned number = 0; number < options.m_replicas; ++number)
        announceEverywhere(number, ReplicaState::Alive, Duration(0));
    scheduleReports();
    scheduleSkew();
    scheduleArrival();
}

void Simulation::run()
{
    m_events.runUntil(m_start + m_options.m_duration + drainTime);
}

void Simulation::buildConfiguration()
{
    for (unsigned number = 0; number < dataCentres; ++number)
        m_configuration.m_dataCentres.push_back({dataCentreName(number)});
    m_configuration.m_kinds = {{KindName("clause"), true, 3, 5},
                               {KindName("digest"), true, 1, 1},
                               {KindName("payment"), false, 10, 9}};
    m_configuration.m_workspaces = {{WorkspaceName("w")}};
    EndpointGroup group;
    group.m_name = GroupName("g");
    group.m_model = ModelName("m");
    group.m_kinds = {KindName("clause"), KindName("digest"), KindName("payment")};
    group.m_coldLimit = FakeReplica::coldLimit;
    group.m_warmLimit = FakeReplica::warmLimit;
    group.m_queueLimit = FakeReplica::queueLimit;
    m_configuration.m_groups = {group};
    for (unsigned number = 0; number < m_options.m_replicas; ++number) {
        Endpoint endpoint;
        endpoint.m_name = endpointName(number);
        endpoint.m_group = group.m_name;
        endpoint.m_dataCentre = dataCentreName(number % dataCentres);
        m_configuration.m_endpoints.push_back(endpoint);
    }
    std::sort(
        m_configuration.m_endpoints.begin(), m_configuration.m_endpoints.end(),
        [](const Endpoint &left, const Endpoint &right) { return left.m_name < right.m_name; });
    m_version = 1;
}

void Simulation::stopReplica(unsigned number, Duration detectionDelay, Duration lag)
{
    m_replicas[number]->stop(detectionDelay);
    announceEverywhere(number, ReplicaState::Dead, lag);
}

void Simulation::startReplica(unsigned number, Duration lag)
{
    m_replicas[number]->start();
    ++m_incarnations[number];
    announceEverywhere(number, ReplicaState::Alive, lag);
}

void Simulation::setTakenOut(unsigned dataCentre, bool takenOut)
{
    m_configuration.m_dataCentres[dataCentre].m_takenOut = takenOut;
    const auto version = std::make_shared<VersionedConfiguration>(
        VersionedConfiguration{++m_version, {}, m_configuration});
    for (EntryRouter &router : m_routers) {
        std::uniform_int_distribution<Duration::rep> lag(0, Duration(configurationLag).count());
        m_events.schedule(Duration(lag(m_random)),
                          [&router, version] { router.applyConfiguration(version); });
    }
}

Measurements Simulation::between(unsigned from, unsigned to) const
{
    return m_measurements.between(m_start + Seconds(from), m_start + Seconds(to));
}

void Simulation::announceEverywhere(unsigned number, ReplicaState state, Duration lag)
{
    const ReplicaAnnouncement announcement{endpointName(number),
                                           dataCentreName(number % dataCentres),
                                           {"127.0.0.1", static_cast<std::uint16_t>(number + 1)},
                                           {m_incarnations[number]},
                                           state};
    for (EntryRouter &router : m_routers)
        m_events.schedule(lag, [this, &router, announcement] {
            router.applyAnnouncement(announcement, m_events.now());
        });
}

void Simulation::scheduleArrival()
{
    const double rate = m_options.m_load * m_options.m_replicas * FakeReplica::capacity();
    std::exponential_distribution<double> gap(rate);
    m_events.schedule(
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random))), [this] {
            if (m_events.now() >= m_start + m_options.m_duration)
                return;
            tryNextReplica(drawRequest());
            scheduleArrival();
        });
}

void Simulation::scheduleReports()
{
    for (unsigned number = 0; number < m_options.m_replicas; ++number) {
        if (m_replicas[number]->isStopped())
            continue;
        const LoadReport report = m_replicas[number]->report();
        const Incarnation incarnation{m_incarnations[number]};
        for (unsigned entry = 0; entry < m_options.m_entryCount; ++entry)
            m_events.schedule(networkDelay(entry, number),
                              [this, entry, number, report, incarnation] {
                                  m_routers[entry].recordLoad(endpointName(number), report,
                                                              m_events.now(), incarnation);
                              });
    }
    if (m_events.now() < m_start + m_options.m_duration)
        m_events.schedule(reportInterval, [this] { scheduleReports(); });
}

void Simulation::scheduleSkew()
{
    double sum = 0;
    double highest = 0;
    for (const auto &replica : m_replicas) {
        const auto load = static_cast<double>(replica->outstanding());
        sum += load;
        highest = std::max(highest, load);
    }
    if (sum > 0)
        m_measurements.addSkew(highest * m_options.m_replicas / sum);
    if (m_events.now() < m_start + m_options.m_duration)
        m_events.schedule(skewInterval, [this] { scheduleSkew(); });
}

void Simulation::publishCacheEvent(unsigned number, std::uint64_t prefix, bool stored)
{
    std::bernoulli_distribution lost(cacheEventLoss);
    if (lost(m_random))
        return;
    m_events.schedule(cacheEventLag, [this, number, prefix, stored] {
        for (EntryRouter &router : m_routers)
            router.onCacheEvent(endpointName(number), prefix, stored, m_events.now());
    });
}

Duration Simulation::networkDelay(unsigned entry, unsigned number) const
{
    const bool same = entry % dataCentres == number % dataCentres;
    return same ? sameDataCentreDelay : otherDataCentreDelay;
}

EndpointName Simulation::endpointName(unsigned number)
{
    return EndpointName("e" + std::to_string(number));
}

} // namespace burdockhead
