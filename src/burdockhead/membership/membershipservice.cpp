#include <burdockhead/configuration/configurationacceptor.h>
#include <burdockhead/membership/controltransport.h>
#include <burdockhead/membership/membershipnode.h>
#include <burdockhead/membership/membershipservice.h>
#include <burdockhead/membership/platformwatcher.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace burdockhead {

namespace {

constexpr Milliseconds tickPeriod(25);
constexpr Milliseconds distributionPeriod(50);
constexpr Seconds cleanupPeriod(2);
constexpr std::uint64_t firstApplicationType = 16;

MemberRecord makeLocalRecord(const MembershipOptions &options)
{
    MemberRecord record;
    record.m_name = options.m_name;
    record.m_role = options.m_role;
    record.m_dataCentre = options.m_dataCentre;
    record.m_controlAddress = options.m_controlAddress;
    record.m_serviceAddress = options.m_callerAddress;
    record.m_operatorAddress = options.m_operatorAddress;
    record.m_incarnation = options.m_incarnation;
    if (options.m_announcement) {
        record.m_serviceAddress = options.m_announcement->m_linkAddress;
        record.m_endpoint = options.m_announcement->m_endpoint;
        record.m_isLeaving = options.m_announcement->m_state == ReplicaState::Leaving;
    }
    return record;
}

} // namespace

struct MembershipService::Private : public ConfigurationDistribution
{
    explicit Private(MembershipOptions options);

    void run();
    void runOnce(std::unique_lock<std::mutex> &lock);
    void sendAll(const std::vector<OutgoingMessage> &messages);
    void notifyListeners(const std::vector<MemberRecord> &changes);
    void publish();
    void wake();
    std::optional<std::string> handleMessage(std::uint64_t type, const std::string &payload);
    std::unique_ptr<PlatformWatcher> makeWatcher();

    bool isQuorumReachable() override;
    void onPlatformObject(const PlatformObject &object) override;
    bool waitForQuorum(std::uint64_t version, TimePoint deadline) override;

    MembershipOptions m_options;
    std::function<void(const ReplicaAnnouncement &)> m_onAnnouncement;
    std::function<void(ConfigurationPointer)> m_onConfiguration;
    std::map<std::uint64_t, ControlHandler> m_handlers;

    mutable std::mutex m_mutex; // Guards the node and the flags.
    std::condition_variable m_wake;
    MembershipNode m_node;
    bool m_isRunning = false;
    bool m_hasWork = false; // The service thread must run before the next tick.

    mutable std::mutex m_publishedMutex; // Guards the configuration in force; locked last.
    ConfigurationPointer m_published;
    std::atomic<TimePoint> m_currentUntil{};

    std::uint64_t m_reportedVersion = 0; // Used by the service thread only.
    TimePoint m_nextCleanupAt;
    Random m_random;
    std::thread m_thread;
    std::unique_ptr<PlatformWatcher> m_watcher;
    ControlTransport m_transport;
};

MembershipService::Private::Private(MembershipOptions options)
    : m_options(std::move(options))
    , m_node(MembershipNodeOptions{makeLocalRecord(m_options), m_options.m_parser, {}, {}})
    , m_random(std::random_device()())
    , m_transport([this](std::uint64_t type, const std::string &payload) {
        return handleMessage(type, payload);
    })
{
    m_node.onVmList(m_options.m_seeds);
}

// Publishes the configuration before the time until which it is current, so that a reader of
// the time also sees the configuration it applies to.
void MembershipService::Private::publish()
{
    {
        const std::lock_guard lock(m_publishedMutex);
        m_published = m_node.configurationInForce();
    }
    m_currentUntil = m_node.currentUntil();
}

void MembershipService::Private::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_hasWork = true;
    }
    m_wake.notify_all();
}

std::optional<std::string> MembershipService::Private::handleMessage(std::uint64_t type,
                                                                     const std::string &payload)
{
    if (type >= firstApplicationType) {
        const auto handler = m_handlers.find(type);
        if (handler == m_handlers.end())
            return std::nullopt;
        return handler->second(payload);
    }
    std::string reply;
    {
        const std::lock_guard lock(m_mutex);
        reply = m_node.handleMessage(static_cast<ControlMessageType>(type), payload, Clock::now());
        publish();
        m_hasWork = true;
    }
    m_wake.notify_all();
    return reply.empty() ? std::nullopt : std::optional(std::move(reply));
}

void MembershipService::Private::sendAll(const std::vector<OutgoingMessage> &messages)
{
    for (const OutgoingMessage &message : messages) {
        m_transport.send(message.m_address, static_cast<std::uint64_t>(message.m_type),
                         message.m_payload, message.m_deadline,
                         [this, message](const std::optional<std::string> &reply) {
                             {
                                 const std::lock_guard lock(m_mutex);
                                 if (reply)
                                     m_node.onReply(message, *reply, Clock::now());
                                 else
                                     m_node.onFailure(message, Clock::now());
                                 publish();
                                 m_hasWork = true;
                             }
                             m_wake.notify_all();
                         });
    }
}

void MembershipService::Private::notifyListeners(const std::vector<MemberRecord> &changes)
{
    for (const MemberRecord &record : changes) {
        if (record.m_role == VmRole::Endpoint && m_onAnnouncement)
            m_onAnnouncement(record.toAnnouncement());
    }
    ConfigurationPointer published;
    {
        const std::lock_guard lock(m_publishedMutex);
        published = m_published;
    }
    if (!published || published->m_version <= m_reportedVersion)
        return;
    m_reportedVersion = published->m_version;
    if (m_onConfiguration)
        m_onConfiguration(std::move(published));
}

// One iteration of the service thread; sends messages and calls listeners without the lock.
void MembershipService::Private::runOnce(std::unique_lock<std::mutex> &lock)
{
    m_hasWork = false;
    m_node.tick(Clock::now(), m_random);
    publish();
    const std::vector<OutgoingMessage> messages = m_node.takeOutgoing();
    const std::vector<MemberRecord> changes = m_node.table().takeChanges();
    lock.unlock();
    sendAll(messages);
    notifyListeners(changes);
    if (Clock::now() >= m_nextCleanupAt) {
        m_nextCleanupAt = Clock::now() + cleanupPeriod;
        m_transport.closeFailedConnections();
    }
    lock.lock();
}

void MembershipService::Private::run()
{
    std::unique_lock lock(m_mutex);
    while (m_isRunning) {
        runOnce(lock);
        m_wake.wait_for(lock, tickPeriod, [this] { return m_hasWork || !m_isRunning; });
    }
}

std::unique_ptr<PlatformWatcher> MembershipService::Private::makeWatcher()
{
    PlatformWatcherHooks hooks;
    hooks.m_shouldWatch = [this] {
        const std::lock_guard lock(m_mutex);
        return m_node.shouldWatchPlatform(Clock::now());
    };
    hooks.m_needsVmList = [this] {
        const std::lock_guard lock(m_mutex);
        return m_node.needsVmList();
    };
    hooks.m_heldVersion = [this] {
        const std::lock_guard lock(m_mutex);
        return m_node.heldVersion();
    };
    hooks.m_onConfigurationRead = [this](const ReadAnswer &answer, std::uint64_t after,
                                         TimePoint requestedAt) {
        {
            const std::lock_guard lock(m_mutex);
            m_node.onPlatformRead(answer, after, requestedAt, Clock::now());
            publish();
        }
        wake();
    };
    hooks.m_onVmList = [this](const std::vector<Vm> &vms) {
        const std::lock_guard lock(m_mutex);
        m_node.onVmList(vms);
    };
    return std::make_unique<PlatformWatcher>(m_options.m_platform, std::move(hooks));
}

bool MembershipService::Private::isQuorumReachable()
{
    const std::lock_guard lock(m_mutex);
    // Before the first configuration there are no data centres to reach.
    return m_node.heldVersion() == 0 || m_node.canReachQuorum(Clock::now());
}

void MembershipService::Private::onPlatformObject(const PlatformObject &object)
{
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        // The oldest possible time point, so that it is no evidence of being current.
        m_node.onPlatformRead({true, object}, 0, TimePoint(), now);
        publish();
    }
    wake();
}

bool MembershipService::Private::waitForQuorum(std::uint64_t version, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    TimePoint nextDistributionAt = Clock::now();
    while (m_isRunning && Clock::now() < deadline) {
        if (m_node.quorumHolds(version))
            return true;
        if (Clock::now() >= nextDistributionAt) {
            nextDistributionAt = Clock::now() + distributionPeriod;
            m_node.distributeVersion(version, Clock::now());
            m_hasWork = true;
            m_wake.notify_all();
        }
        m_wake.wait_for(lock, tickPeriod);
    }
    return false;
}

MembershipService::MembershipService(MembershipOptions options)
    : m_d(std::make_unique<Private>(std::move(options)))
{}

MembershipService::~MembershipService()
{
    stop();
}

void MembershipService::onAnnouncement(std::function<void(const ReplicaAnnouncement &)> callback)
{
    m_d->m_onAnnouncement = std::move(callback);
}

void MembershipService::onConfiguration(std::function<void(ConfigurationPointer)> callback)
{
    m_d->m_onConfiguration = std::move(callback);
}

void MembershipService::registerHandler(std::uint64_t messageType, ControlHandler handler)
{
    m_d->m_handlers[messageType] = std::move(handler);
}

bool MembershipService::start(Failure &failure)
{
    if (!m_d->m_transport.listen(m_d->m_options.m_controlAddress,
                                 m_d->m_options.m_maxControlConnections, failure))
        return false;
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_isRunning = true;
    }
    m_d->m_thread = std::thread([this] { m_d->run(); });
    if (m_d->m_options.m_platform) {
        m_d->m_watcher = m_d->makeWatcher();
        m_d->m_watcher->start();
    }
    return true;
}

void MembershipService::stop()
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_isRunning = false;
    }
    m_d->m_wake.notify_all();
    if (m_d->m_watcher)
        m_d->m_watcher->stop();
    if (m_d->m_thread.joinable())
        m_d->m_thread.join();
    m_d->m_transport.close();
}

void MembershipService::setLeaving()
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_node.setLeaving(true);
    }
    m_d->wake();
}

void MembershipService::announce(const ReplicaAnnouncement &announcement)
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_node.setLeaving(announcement.m_state == ReplicaState::Leaving);
    }
    m_d->wake();
}

ConfigurationPointer MembershipService::configuration() const
{
    const std::lock_guard lock(m_d->m_publishedMutex);
    return m_d->m_published;
}

bool MembershipService::isReady() const
{
    return configuration() != nullptr;
}

bool MembershipService::isCurrent() const
{
    return Clock::now() < m_d->m_currentUntil.load();
}

std::vector<EntryInfo> MembershipService::entries() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::vector<EntryInfo> entries;
    for (const MemberRecord *record : m_d->m_node.table().members(VmRole::Entry))
        entries.push_back(record->toEntryInfo());
    return entries;
}

std::vector<MemberRecord> MembershipService::members() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::vector<MemberRecord> members;
    for (const VmRole role : {VmRole::Entry, VmRole::Endpoint}) {
        for (const MemberRecord *record : m_d->m_node.table().members(role))
            members.push_back(*record);
    }
    return members;
}

std::vector<ReplicaAnnouncement> MembershipService::announcements() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::vector<ReplicaAnnouncement> announcements;
    for (const MemberRecord *record : m_d->m_node.table().members(VmRole::Endpoint))
        announcements.push_back(record->toAnnouncement());
    return announcements;
}

std::optional<std::string> MembershipService::call(const SocketAddress &peer,
                                                   std::uint64_t messageType,
                                                   const std::string &payload, TimePoint deadline,
                                                   Failure &failure)
{
    struct ReplyWaiter
    {
        std::mutex m_mutex;
        std::condition_variable m_endedCondition;
        bool m_hasEnded = false;
        std::optional<std::string> m_reply;
    };
    const auto waiter = std::make_shared<ReplyWaiter>();
    m_d->m_transport.send(peer, messageType, payload, deadline,
                          [waiter](std::optional<std::string> reply) {
                              const std::lock_guard lock(waiter->m_mutex);
                              waiter->m_reply = std::move(reply);
                              waiter->m_hasEnded = true;
                              waiter->m_endedCondition.notify_all();
                          });
    std::unique_lock lock(waiter->m_mutex);
    waiter->m_endedCondition.wait(lock, [&waiter] { return waiter->m_hasEnded; });
    if (!waiter->m_reply)
        failure = {ErrorKind::PeerUnreachable, "no answer from " + peer.toString()};
    return waiter->m_reply;
}

ApplyResult MembershipService::apply(std::uint64_t baseVersion, const std::string &text,
                                     const std::string &nonce, TimePoint deadline)
{
    if (!m_d->m_options.m_platform) {
        ApplyResult result;
        result.m_outcome = ApplyOutcome::PlatformUnavailable;
        result.m_reason = "no platform is configured";
        return result;
    }
    ConfigurationAcceptor acceptor(*m_d->m_options.m_platform, *m_d, m_d->m_options.m_parser);
    return acceptor.apply(baseVersion, text, nonce, deadline);
}

MembershipCounters MembershipService::counters() const
{
    MembershipCounters counters = m_d->m_transport.counters();
    if (m_d->m_watcher)
        counters.m_platformCalls = m_d->m_watcher->calls();
    return counters;
}

} // namespace burdockhead
