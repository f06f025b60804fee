#include "simulatedcluster.h"

#include "testconfiguration.h"

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Milliseconds tickPeriod(50);
constexpr Milliseconds watchPeriod(250);
constexpr Milliseconds acceptanceTimeout(8000);
// An accepted version must be in force after this time in every process that accepts work.
constexpr Milliseconds maxStaleness(3000);

} // namespace

SimulatedCluster::SimulatedCluster(std::size_t dataCentres, std::size_t entriesEach,
                                   std::uint64_t seed, DisabledSafeguard disabledSafeguard)
    : m_dataCentreCount(dataCentres)
    , m_disabledSafeguard(disabledSafeguard)
    , m_random(seed)
    , m_now(Seconds(1000))
{
    for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
        const std::string name(1, static_cast<char>('a' + dataCentre));
        m_platformValue += name + " ";
        for (std::size_t number = 0; number <= entriesEach; ++number) {
            Process process;
            process.m_record.m_name = ProcessName(name + std::to_string(number));
            process.m_record.m_role = number < entriesEach ? VmRole::Entry : VmRole::Endpoint;
            process.m_record.m_dataCentre = DataCentreName(name);
            process.m_record.m_controlAddress = {
                "127.0.0.1", static_cast<std::uint16_t>(1 + m_processes.size())};
            m_vms.push_back({process.m_record.m_name, process.m_record.m_role,
                             process.m_record.m_dataCentre, process.m_record.m_controlAddress,
                             false});
            m_processes.push_back(std::move(process));
        }
    }
    for (std::size_t index = 0; index < m_processes.size(); ++index)
        startProcess(index);
}

void SimulatedCluster::schedule(TimePoint at, std::function<void()> action)
{
    m_events.emplace(at, std::move(action));
}

void SimulatedCluster::runUntil(TimePoint time)
{
    while (!m_events.empty() && m_events.begin()->first <= time && m_violation.empty()) {
        m_now = std::max(m_now, m_events.begin()->first);
        auto action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
        checkGuarantees();
    }
    m_now = std::max(m_now, time);
}

void SimulatedCluster::startProcess(std::size_t index)
{
    Process &process = m_processes[index];
    process.m_record.m_incarnation = Incarnation{m_nextIncarnation++};
    process.m_node = std::make_unique<MembershipNode>(
        MembershipNodeOptions{process.m_record, parseTestConfiguration, {}, {}});
    process.m_node->onVmList(m_vms);
    process.m_isUp = true;
    process.m_isPaused = false;
    process.m_isWatching = false;
    process.m_highestVersion = 0;
    process.m_onResume.clear();
    tickProcess(index, process.m_record.m_incarnation);
}

void SimulatedCluster::stopProcess(std::size_t index)
{
    m_processes[index].m_isUp = false;
}

// Runs an action in a process unless it has stopped or restarted; a paused process runs it when
// it resumes.
void SimulatedCluster::runInProcess(std::size_t index, Incarnation incarnation,
                                    std::function<void()> action)
{
    Process &process = m_processes[index];
    if (!process.m_isUp || process.m_record.m_incarnation != incarnation)
        return;
    if (process.m_isPaused)
        process.m_onResume.push_back(std::move(action));
    else
        action();
}

void SimulatedCluster::tickProcess(std::size_t index, Incarnation incarnation)
{
    runInProcess(index, incarnation, [this, index, incarnation] {
        MembershipNode &node = *m_processes[index].m_node;
        node.tick(m_now, m_random);
        sendPending(index);
        watchPlatform(index);
        schedule(m_now + tickPeriod,
                 [this, index, incarnation] { tickProcess(index, incarnation); });
    });
}

void SimulatedCluster::watchPlatform(std::size_t index)
{
    Process &process = m_processes[index];
    if (process.m_isWatching || !process.m_node->shouldWatchPlatform(m_now))
        return;
    process.m_isWatching = true;
    const TimePoint requestedAt = m_now;
    const std::uint64_t after = process.m_node->heldVersion();
    const Incarnation incarnation = process.m_record.m_incarnation;
    schedule(m_now + latency(), [=, this] {
        ReadAnswer result;
        result.m_answered = canReachPlatform(index);
        if (result.m_answered && m_platformVersion > after)
            result.m_object = PlatformObject{configurationObjectKind, configurationObjectName,
                                             m_platformVersion, m_platformValue};
        schedule(m_now + latency(), [=, this] {
            runInProcess(index, incarnation, [=, this] {
                m_processes[index].m_node->onPlatformRead(result, after, requestedAt, m_now);
                sendPending(index);
            });
        });
    });
    schedule(m_now + watchPeriod, [=, this] {
        runInProcess(index, incarnation, [=, this] { m_processes[index].m_isWatching = false; });
    });
}

void SimulatedCluster::sendPending(std::size_t index)
{
    for (const OutgoingMessage &message : m_processes[index].m_node->takeOutgoing())
        deliver(index, message);
}

Milliseconds SimulatedCluster::latency()
{
    const bool isDelayed = isActive(FaultKind::LossyNetwork) && m_random() % 4 == 0;
    return Milliseconds(1 + m_random() % (isDelayed ? 900 : 20));
}

bool SimulatedCluster::dropsMessage()
{
    return isActive(FaultKind::LossyNetwork) && m_random() % 6 == 0;
}

// Delivers a message and its reply; the sender gets a failure at the deadline otherwise.
void SimulatedCluster::deliver(std::size_t from, const OutgoingMessage &message)
{
    const std::size_t to = message.m_address.m_port - 1U;
    const Incarnation incarnation = m_processes[from].m_record.m_incarnation;
    const auto isEnded = std::make_shared<bool>(false);
    const auto onReplyArrived = [=, this](const std::string &payload) {
        runInProcess(from, incarnation, [=, this] {
            if (std::exchange(*isEnded, true))
                return;
            deliverReply(from, message, payload);
            sendPending(from);
        });
    };
    const auto onArrived = [=, this] {
        if (dropsMessage() || !areConnected(from, to) || !m_processes[to].m_isUp)
            return;
        runInProcess(to, m_processes[to].m_record.m_incarnation, [=, this] {
            const std::string reply =
                m_processes[to].m_node->handleMessage(message.m_type, message.m_payload, m_now);
            sendPending(to);
            if (!dropsMessage() && areConnected(from, to))
                schedule(m_now + latency(), [=] { onReplyArrived(reply); });
        });
    };
    schedule(m_now + latency(), onArrived);
    if (isActive(FaultKind::LossyNetwork) && m_random() % 4 == 0)
        schedule(m_now + latency() + latency(), onArrived);
    schedule(message.m_deadline, [=, this] {
        runInProcess(from, incarnation, [=, this] {
            if (std::exchange(*isEnded, true))
                return;
            m_processes[from].m_node->onFailure(message, m_now);
            sendPending(from);
        });
    });
}

void SimulatedCluster::deliverReply(std::size_t from, OutgoingMessage message, std::string payload)
{
    if (m_disabledSafeguard == DisabledSafeguard::RequestTime)
        message.m_sentAt = m_now;
    auto reply = decodeExchangeReply(payload);
    if (m_disabledSafeguard == DisabledSafeguard::Authority
        && message.m_type == ControlMessageType::Exchange && reply) {
        reply->m_isNonAuthoritative = false;
        payload = encode(*reply);
    }
    m_processes[from].m_node->onReply(message, payload, m_now);
}

std::size_t SimulatedCluster::dataCentreOf(std::size_t index) const
{
    return index / (m_processes.size() / m_dataCentreCount);
}

bool SimulatedCluster::isActiveAt(FaultKind kind, std::size_t target) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const Fault &fault) {
        return fault.m_kind == kind && fault.m_target % m_dataCentreCount == target
               && fault.m_from <= m_now && m_now < fault.m_until;
    });
}

bool SimulatedCluster::isActive(FaultKind kind) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const Fault &fault) {
        return fault.m_kind == kind && fault.m_from <= m_now && m_now < fault.m_until;
    });
}

bool SimulatedCluster::areConnected(std::size_t left, std::size_t right) const
{
    const std::size_t leftDataCentre = dataCentreOf(left);
    const std::size_t rightDataCentre = dataCentreOf(right);
    if (leftDataCentre == rightDataCentre)
        return true;
    return !isActiveAt(FaultKind::PartitionDataCentre, leftDataCentre)
           && !isActiveAt(FaultKind::PartitionDataCentre, rightDataCentre)
           && !isActiveAt(FaultKind::PartitionFromAll, leftDataCentre)
           && !isActiveAt(FaultKind::PartitionFromAll, rightDataCentre);
}

bool SimulatedCluster::canReachPlatform(std::size_t index) const
{
    const std::size_t dataCentre = dataCentreOf(index);
    return !isActive(FaultKind::PlatformDown)
           && !isActiveAt(FaultKind::PartitionFromPlatform, dataCentre)
           && !isActiveAt(FaultKind::PartitionFromAll, dataCentre);
}

void SimulatedCluster::addFault(const Fault &fault)
{
    m_faults.push_back(fault);
    const bool isPause = fault.m_kind == FaultKind::PauseProcess;
    if (!isPause && fault.m_kind != FaultKind::RestartProcess
        && fault.m_kind != FaultKind::RestartDataCentre)
        return;
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        const bool isAffected = fault.m_kind == FaultKind::RestartDataCentre
                                    ? dataCentreOf(index) == fault.m_target % m_dataCentreCount
                                    : index == fault.m_target % m_processes.size();
        if (!isAffected)
            continue;
        schedule(fault.m_from, [this, index, isPause] {
            if (isPause)
                m_processes[index].m_isPaused = true;
            else
                stopProcess(index);
        });
        schedule(fault.m_until, [this, index, isPause] {
            Process &process = m_processes[index];
            if (!isPause && !process.m_isUp)
                startProcess(index);
            process.m_isPaused = false;
            for (const auto &action : std::exchange(process.m_onResume, {}))
                action();
        });
    }
}

void SimulatedCluster::scheduleChange(TimePoint at, std::size_t entry)
{
    schedule(at, [this, entry] {
        const std::size_t index = entry % m_processes.size();
        const Process &process = m_processes[index];
        if (!process.m_isUp || process.m_isPaused || process.m_record.m_role != VmRole::Entry)
            return;
        const std::uint64_t base = process.m_node->heldVersion();
        const std::string nonce = "n" + std::to_string(m_random());
        std::string text = "change:" + nonce;
        for (std::size_t number = 0; number < m_dataCentreCount; ++number)
            text += std::string(m_random() % 2 == 0 ? " " : " !") + static_cast<char>('a' + number);
        const auto change = std::make_shared<Change>(
            Change{index, process.m_record.m_incarnation, base, nonce,
                   Acceptance(base, text, nonce), m_now + acceptanceTimeout});
        advanceChange(change);
    });
}

void SimulatedCluster::advanceChange(const std::shared_ptr<Change> &change)
{
    runInProcess(change->m_entry, change->m_incarnation, [this, change] {
        Acceptance &acceptance = change->m_acceptance;
        if (m_now >= change->m_deadline)
            acceptance.onDeadline();
        MembershipNode &node = *m_processes[change->m_entry].m_node;
        if (acceptance.step() == AcceptanceStep::AwaitQuorum) {
            if (m_disabledSafeguard == DisabledSafeguard::Quorum
                || node.quorumHolds(acceptance.version()))
                acceptance.onQuorumReached();
            else
                node.distributeVersion(acceptance.version(), m_now);
            sendPending(change->m_entry);
        }
        if (acceptance.step() == AcceptanceStep::Done)
            recordOutcome(*change);
        else if (acceptance.step() == AcceptanceStep::Read)
            readConfigurationFor(change);
        else if (acceptance.step() == AcceptanceStep::Write)
            writeConfigurationFor(change);
        else
            schedule(m_now + tickPeriod, [this, change] { advanceChange(change); });
    });
}

void SimulatedCluster::readConfigurationFor(const std::shared_ptr<Change> &change)
{
    schedule(m_now + latency(), [this, change] {
        ReadAnswer result;
        result.m_answered = canReachPlatform(change->m_entry);
        result.m_object = PlatformObject{configurationObjectKind, configurationObjectName,
                                         m_platformVersion, m_platformValue};
        schedule(m_now + latency(), [this, change, result] {
            runInProcess(change->m_entry, change->m_incarnation, [this, change, result] {
                MembershipNode &node = *m_processes[change->m_entry].m_node;
                if (result.m_answered)
                    node.onPlatformRead(result, 0, TimePoint(), m_now);
                const bool isReachable =
                    m_disabledSafeguard == DisabledSafeguard::Quorum || node.canReachQuorum(m_now);
                change->m_acceptance.onRead(result, isReachable);
                schedule(m_now + tickPeriod, [this, change] { advanceChange(change); });
            });
        });
    });
}

void SimulatedCluster::writeConfigurationFor(const std::shared_ptr<Change> &change)
{
    const PlatformObject object = change->m_acceptance.updatedObject();
    schedule(m_now + latency(), [this, change, object] {
        WriteAnswer result;
        if (canReachPlatform(change->m_entry)) {
            result.m_result = WriteResult::Conflict;
            if (object.m_version == m_platformVersion) {
                m_platformValue = object.m_value;
                m_writtenNonces.push_back(change->m_nonce);
                result = {WriteResult::Applied, ++m_platformVersion};
            }
            if (isActive(FaultKind::LostWriteResults))
                result = {};
        }
        schedule(m_now + latency(), [this, change, result] {
            runInProcess(change->m_entry, change->m_incarnation, [this, change, result] {
                change->m_acceptance.onWrite(result);
                schedule(m_now + tickPeriod, [this, change] { advanceChange(change); });
            });
        });
    });
}

// An accepted change must be the only one accepted for its base version and must be in the
// platform's history.
void SimulatedCluster::recordOutcome(Change &change)
{
    if (std::exchange(change.m_isReported, true)
        || change.m_acceptance.result().m_outcome != ApplyOutcome::Accepted)
        return;
    ++m_acceptedCount;
    m_acceptedAt.emplace(change.m_acceptance.version(), m_now);
    const auto written = std::find(m_writtenNonces.begin(), m_writtenNonces.end(), change.m_nonce);
    if (written == m_writtenNonces.end())
        recordViolation("an accepted change is not in the platform");
    if (!m_acceptedNonces.emplace(change.m_base, change.m_nonce).second)
        recordViolation("two racing changes were accepted");
}

void SimulatedCluster::recordViolation(const std::string &what)
{
    if (m_violation.empty())
        m_violation = what;
}

// Checks the guarantees: the version in force never decreases, and no process accepts new work
// with a version older than one accepted three seconds ago.
void SimulatedCluster::checkGuarantees()
{
    std::uint64_t requiredVersion = 0;
    for (const auto &[version, acceptedAt] : m_acceptedAt) {
        if (acceptedAt + maxStaleness <= m_now)
            requiredVersion = std::max(requiredVersion, version);
    }
    for (Process &process : m_processes) {
        if (!process.m_isUp || process.m_isPaused)
            continue;
        const ConfigurationPointer configurationInForce = process.m_node->configurationInForce();
        const std::uint64_t version = configurationInForce ? configurationInForce->m_version : 0;
        if (version < process.m_highestVersion)
            recordViolation(process.m_record.m_name.text() + " went back to an older version");
        process.m_highestVersion = version;
        const bool acceptsWork = m_disabledSafeguard == DisabledSafeguard::FreshnessCheck
                                     ? process.m_node->isReady()
                                     : process.m_node->isCurrent(m_now);
        if (acceptsWork && version < requiredVersion)
            recordViolation(process.m_record.m_name.text() + " takes work with version "
                            + std::to_string(version) + ", accepted was "
                            + std::to_string(requiredVersion));
    }
}

bool SimulatedCluster::isConverged() const
{
    return std::all_of(m_processes.begin(), m_processes.end(), [this](const Process &process) {
        return process.m_isUp && process.m_node->isCurrent(m_now)
               && process.m_node->configurationInForce()->m_version == m_platformVersion;
    });
}

} // namespace burdockhead
