#include <burdockhead/routing/powerofchoiceschooser.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr unsigned drawsPerSample = 4;
constexpr std::uint32_t highPriority = 5;
constexpr std::size_t ringStepsPerHome = 4;

// Keeps the best of the replicas offered to it.
class Best
{
public:
    explicit Best(const ChoiceContext &context)
        : m_context(context)
    {}

    // Whether the replica is permitted.
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

void offerHolders(const ChoiceContext &context, Best &best)
{
    const std::uint64_t prefix = context.facts().m_prefixHash;
    for (const ReplicaIndex holder : context.table().prefixDirectory().holders(prefix)) {
        if (holder != PrefixDirectory::noReplica && context.isMember(holder))
            best.offer(holder);
    }
}

void offerHomes(const ChoiceContext &context, const HomeRing &ring, Best &best)
{
    const unsigned wanted = context.options().m_homes;
    unsigned found = 0;
    const std::size_t steps = std::min(ring.size(), wanted * ringStepsPerHome);
    for (std::size_t step = 0; step < steps && found < wanted; ++step) {
        if (best.offer(ring.home(context.facts().m_prefixHash, step)))
            ++found;
    }
}

ReplicaIndex draw(const ChoiceContext &context, std::size_t total, Random &random)
{
    std::size_t place = std::uniform_int_distribution<std::size_t>(0, total - 1)(random);
    for (const GroupIndex group : context.groups()) {
        const auto &members = context.table().group(group).m_members;
        if (place < members.size())
            return members[place];
        place -= members.size();
    }
    return 0;
}

void offerSamples(const ChoiceContext &context, Best &best, Random &random)
{
    std::size_t total = 0;
    for (const GroupIndex group : context.groups())
        total += context.table().group(group).m_members.size();
    if (total == 0)
        return;
    unsigned wanted = context.options().m_samples;
    if (context.facts().m_priority >= highPriority)
        wanted *= 2;
    unsigned found = 0;
    for (unsigned drawn = 0; drawn < wanted * drawsPerSample && found < wanted; ++drawn) {
        if (best.offer(draw(context, total, random)))
            ++found;
    }
}

} // namespace

std::optional<ReplicaIndex> PowerOfChoicesChooser::choose(const ChoiceContext &context,
                                                          Random &random)
{
    Best best(context);
    if (context.facts().m_prefixHash != 0) {
        offerHolders(context, best);
        for (const GroupIndex group : context.groups())
            offerHomes(context, context.table().group(group).m_ring, best);
    }
    offerSamples(context, best, random);
    if (!best.best())
        context.forEachReplica([&best](ReplicaIndex index) { best.offer(index); });
    return best.best();
}

} // namespace burdockhead
