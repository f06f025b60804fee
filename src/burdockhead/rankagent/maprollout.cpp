#include <burdockhead/rankagent/maprollout.h>

#include <algorithm>

namespace burdockhead {

namespace {

// How many steps ahead the group is held: orders reach all ranks in less than a step, so the
// group seldom waits.
constexpr std::uint64_t holdLead = 2;
// The oldest views that orders may follow from: a round over a large group takes some 100 ms.
constexpr Milliseconds oldestViews{250};

// True when all ranks from that one on are known, in one open group and one epoch, with one map.
bool isWholeFrom(std::uint32_t firstRank, const std::vector<RankView> &views)
{
    if (views.empty() || views.size() + firstRank != views.front().m_ranks)
        return false;
    for (std::size_t index = 0; index < views.size(); ++index) {
        const RankView &view = views[index];
        if (!view.m_isOpen || view.m_rank != firstRank + index
            || view.m_epoch != views.front().m_epoch || view.m_group != views.front().m_group
            || view.m_map != views.front().m_map)
            return false;
    }
    return true;
}

std::uint64_t lastStep(const std::vector<RankView> &views)
{
    std::uint64_t step = 0;
    for (const RankView &view : views)
        step = std::max(step, view.m_step);
    return step;
}

// The first step that a rank holds and the group has not begun; none without a hold.
std::optional<std::uint64_t> heldStep(const std::vector<RankView> &views)
{
    const std::uint64_t begun = lastStep(views);
    std::optional<std::uint64_t> held;
    for (const RankView &view : views) {
        if (view.m_held && *view.m_held > begun)
            held = std::min(held.value_or(*view.m_held), *view.m_held);
    }
    return held;
}

// Lets the group go on, at each rank that holds it.
void letGo(const std::vector<RankView> &views, std::uint64_t step, RolloutStep &result)
{
    for (const RankView &view : views) {
        if (view.m_held == step)
            result.m_orders.push_back({view.m_rank, RankOrderType::Go, view.m_epoch, 0, step});
    }
}

// The hold is put on the last rank: the coordinator is beside the first, and when its VM
// freezes a deputy can still reach the rank that holds the group.
RankOrder holdOrder(const std::vector<RankView> &views, std::uint64_t step)
{
    return {views.back().m_rank, RankOrderType::Hold, views.back().m_epoch, 0, step};
}

bool isArmedAlike(const std::vector<RankView> &views)
{
    return std::all_of(views.begin(), views.end(), [&](const RankView &view) {
        return view.m_armed && view.m_armed == views.front().m_armed;
    });
}

// The first step for which any rank is armed; none when no rank is.
std::optional<std::uint64_t> firstArmedStep(const std::vector<RankView> &views)
{
    std::optional<std::uint64_t> first;
    for (const RankView &view : views) {
        if (view.m_armed)
            first = std::min(first.value_or(view.m_armed->m_step), view.m_armed->m_step);
    }
    return first;
}

void prepare(const std::vector<RankView> &views, std::uint64_t version, RolloutStep &result)
{
    for (const RankView &view : views) {
        if (view.m_prepared != version)
            result.m_orders.push_back(
                {view.m_rank, RankOrderType::Prepare, view.m_epoch, version, 0});
    }
}

// Arms rank 0 only when all others are armed, so that while any other rank is not, nobody has
// to ask whether rank 0 is.
void armAndGo(const std::vector<RankView> &views, const ArmedMap &armed, RolloutStep &result)
{
    for (auto view = views.rbegin(); view != views.rend(); ++view) {
        const bool isLast = view->m_rank == 0 && !result.m_orders.empty();
        if (view->m_armed != armed && !isLast)
            result.m_orders.push_back(
                {view->m_rank, RankOrderType::Arm, view->m_epoch, armed.m_version, armed.m_step});
    }
    if (result.m_orders.empty())
        letGo(views, armed.m_step, result);
}

} // namespace

std::uint64_t MapRollout::nextVersion(const std::vector<RankView> &views)
{
    std::uint64_t highest = 0;
    for (const RankView &view : views) {
        highest = std::max({highest, view.m_map, view.m_prepared.value_or(0)});
        if (view.m_armed)
            highest = std::max(highest, view.m_armed->m_version);
    }
    return highest + 1;
}

// The version above the one in use that all ranks have prepared and that may be armed.
std::optional<std::uint64_t> MapRollout::commonPrepared(const std::vector<RankView> &views) const
{
    const auto first = views.front().m_prepared;
    if (!first || *first <= views.front().m_map || *first <= m_highestDisarmed)
        return std::nullopt;
    const bool isCommon = std::all_of(
        views.begin(), views.end(), [&](const RankView &view) { return view.m_prepared == first; });
    return isCommon ? first : std::nullopt;
}

void MapRollout::disarm(const std::vector<RankView> &views, RolloutStep &result)
{
    for (const RankView &view : views) {
        if (!view.m_armed)
            continue;
        m_highestDisarmed = std::max(m_highestDisarmed, view.m_armed->m_version);
        result.m_orders.push_back(
            {view.m_rank, RankOrderType::Disarm, view.m_epoch, view.m_armed->m_version, 0});
    }
}

RolloutStep MapRollout::nextWhileHeld(const std::vector<RankView> &views, std::uint64_t step,
                                      std::optional<std::uint64_t> planned)
{
    RolloutStep result;
    result.m_isHolding = true;
    if (const auto version = commonPrepared(views)) {
        const ArmedMap armed = {*version, step};
        const bool isOther = std::any_of(views.begin(), views.end(), [&](const RankView &view) {
            return view.m_armed && *view.m_armed != armed;
        });
        if (!isOther) {
            armAndGo(views, armed, result);
            return result;
        }
    }
    disarm(views, result);
    if (!result.m_orders.empty())
        return result;
    // Ranks that show nothing prepared may be loading what another coordinator will arm, so the
    // group isn't let go before they are all armed with a map of this one.
    if (planned && *planned >= nextVersion(views) - 1 && *planned > m_highestDisarmed)
        prepare(views, *planned, result);
    else
        result.m_needsPlan = true;
    return result;
}

// Ends a hold while rank 0 is unknown. It isn't armed as long as another rank isn't, since it is
// armed last; if all others are armed it may be, and the group has to wait for it. What the
// others have prepared is replaced before the group goes on, so that no late order arms them.
RolloutStep MapRollout::nextWhileHeldWithoutFirst(const std::vector<RankView> &views,
                                                  std::uint64_t step,
                                                  std::optional<std::uint64_t> planned)
{
    RolloutStep result;
    result.m_isHolding = true;
    if (isArmedAlike(views))
        return result;
    const Release release = {views.front().m_epoch, step};
    if (m_release != release) {
        m_release = release;
        m_highestDisarmed = std::max(m_highestDisarmed, nextVersion(views) - 1);
    }
    disarm(views, result);
    if (!result.m_orders.empty())
        return result;
    if (!planned || *planned <= m_highestDisarmed) {
        result.m_needsPlan = true;
        return result;
    }
    prepare(views, *planned, result);
    if (result.m_orders.empty())
        letGo(views, step, result);
    return result;
}

RolloutStep MapRollout::nextWhileFree(const std::vector<RankView> &views,
                                      std::optional<std::uint64_t> planned) const
{
    RolloutStep result;
    const RankView &first = views.front();
    if (isArmedAlike(views))
        return result; // The step for which all are armed is still to come.
    if (const auto step = firstArmedStep(views)) {
        result.m_orders.push_back(holdOrder(views, *step));
        result.m_isHolding = true;
        return result;
    }
    if (!planned)
        return result;
    if (first.m_map >= *planned) {
        result.m_isDone = true;
    } else if (*planned <= m_highestDisarmed || *planned + 1 < nextVersion(views)) {
        // Ranks refuse to prepare a lower version than another coordinator gave them.
        result.m_needsPlan = true;
    } else if (commonPrepared(views) == planned) {
        result.m_orders.push_back(holdOrder(views, lastStep(views) + holdLead));
        result.m_isHolding = true;
    } else {
        prepare(views, *planned, result);
    }
    return result;
}

RolloutStep MapRollout::next(const std::vector<RankView> &views,
                             std::optional<std::uint64_t> planned, Milliseconds age)
{
    if (age > oldestViews)
        return {};
    const bool isWhole = isWholeFrom(0, views);
    if (!isWhole && !isWholeFrom(1, views))
        return {};
    const auto held = heldStep(views);
    if (!isWhole)
        return held ? nextWhileHeldWithoutFirst(views, *held, planned) : RolloutStep();
    return held ? nextWhileHeld(views, *held, planned) : nextWhileFree(views, planned);
}

} // namespace burdockhead
