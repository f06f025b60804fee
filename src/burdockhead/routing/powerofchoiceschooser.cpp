#include <burdockhead/routing/powerofchoiceschooser.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr unsigned maxDrawsPerSample = 4;
constexpr std::uint32_t highPriority = 5;
constexpr std::size_t ringStepsPerCandidate = 4;

// Keeps the permitted replica with the lowest score.
class BestCandidate
{
public:
    explicit BestCandidate(const ChoiceContext &context)
        : m_context(context)
    {}

    // Considers a replica; returns whether it is permitted.
    bool offer(ReplicaIndex index)
    {
        if (m_best == index)
            return true;
        if (!m_context.permits(index))
            return false;
        const double score = m_context.score(index);
        if (!m_best || score < m_score) {
            m_best = index;
            m_score = score;
        }
        return true;
    }

    std::optional<ReplicaIndex> best() const { return m_best; }

private:
    const ChoiceContext &m_context;
    std::optional<ReplicaIndex> m_best;
    double m_score = 0;
};

void offerPrefixHolders(const ChoiceContext &context, BestCandidate &best)
{
    const std::uint64_t prefix = context.request().m_prefixHash;
    for (const ReplicaIndex holder : context.table().prefixDirectory().holders(prefix)) {
        if (holder != PrefixDirectory::noReplica && context.isMember(holder))
            best.offer(holder);
    }
}

void offerRingCandidates(const ChoiceContext &context, const ConsistentHashRing &ring,
                         BestCandidate &best)
{
    const unsigned wanted = context.options().m_ringCandidates;
    unsigned found = 0;
    const std::size_t steps = std::min(ring.size(), wanted * ringStepsPerCandidate);
    for (std::size_t step = 0; step < steps && found < wanted; ++step) {
        if (best.offer(ring.replicaAt(context.request().m_prefixHash, step)))
            ++found;
    }
}

ReplicaIndex drawReplica(const ChoiceContext &context, std::size_t total, Random &random)
{
    std::size_t position = std::uniform_int_distribution<std::size_t>(0, total - 1)(random);
    for (const GroupIndex group : context.groups()) {
        const auto &members = context.table().group(group).m_members;
        if (position < members.size())
            return members[position];
        position -= members.size();
    }
    return 0;
}

void offerSamples(const ChoiceContext &context, BestCandidate &best, Random &random)
{
    std::size_t total = 0;
    for (const GroupIndex group : context.groups())
        total += context.table().group(group).m_members.size();
    if (total == 0)
        return;
    unsigned wanted = context.options().m_sampleCount;
    if (context.request().m_priority >= highPriority)
        wanted *= 2;
    unsigned found = 0;
    for (unsigned drawn = 0; drawn < wanted * maxDrawsPerSample && found < wanted; ++drawn) {
        if (best.offer(drawReplica(context, total, random)))
            ++found;
    }
}

} // namespace

std::optional<ReplicaIndex> PowerOfChoicesChooser::choose(const ChoiceContext &context,
                                                          Random &random)
{
    BestCandidate best(context);
    if (context.request().m_prefixHash != 0) {
        offerPrefixHolders(context, best);
        for (const GroupIndex group : context.groups())
            offerRingCandidates(context, context.table().group(group).m_ring, best);
    }
    offerSamples(context, best, random);
    if (!best.best())
        context.forEachReplica([&best](ReplicaIndex index) { best.offer(index); });
    return best.best();
}

} // namespace burdockhead
