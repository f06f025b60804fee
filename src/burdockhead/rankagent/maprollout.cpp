#include <burdockhead/rankagent/maprollout.h>

#include <algorithm>

namespace burdockhead {

namespace {

// How many steps ahead the group is held: orders reach all ranks in less than a step, so the
// group seldom waits.
constexpr std::uint64_t holdLead = 2;

// True when all ranks are known, in one open group and one epoch, with one map.
bool isWhole(const std::vector<RankView> &views)
{
    if (views.empty() || views.size() != views.front().m_ranks)
        return false;
    for (std::size_t rank = 0; rank < views.size(); ++rank) {
        const RankView &view = views[rank];
        if (!view.m_isOpen || view.m_rank != rank || view.m_epoch != views.front().m_epoch
            || view.m_group != views.front().m_group || view.m_map != views.front().m_map)
            return false;
    }
    return true;
}

bool hasPreparedNew(const RankView &view)
{
    return view.m_prepared && *view.m_prepared > view.m_map;
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

void armAndGo(const std::vector<RankView> &views, const ArmedMap &armed, RolloutStep &result)
{
    for (const RankView &view : views) {
        if (view.m_armed != armed)
            result.m_orders.push_back(
                {view.m_rank, RankOrderType::Arm, view.m_epoch, armed.m_version, armed.m_step});
    }
    if (result.m_orders.empty())
        result.m_orders.push_back({0, RankOrderType::Go, views.front().m_epoch, 0, armed.m_step});
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
    // Without a prepared map no order to arm can succeed any more.
    if (std::none_of(views.begin(), views.end(), hasPreparedNew)) {
        result.m_orders.push_back({0, RankOrderType::Go, views.front().m_epoch, 0, step});
        return result;
    }
    if (planned && *planned >= nextVersion(views) - 1 && *planned > m_highestDisarmed)
        prepare(views, *planned, result);
    else
        result.m_needsPlan = true;
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
        result.m_orders.push_back({0, RankOrderType::Hold, first.m_epoch, 0, *step});
        result.m_isHolding = true;
        return result;
    }
    if (!planned)
        return result;
    if (first.m_map >= *planned) {
        result.m_isDone = true;
    } else if (*planned <= m_highestDisarmed) {
        result.m_needsPlan = true;
    } else if (commonPrepared(views) == planned) {
        std::uint64_t step = 0;
        for (const RankView &view : views)
            step = std::max(step, view.m_step);
        result.m_orders.push_back({0, RankOrderType::Hold, first.m_epoch, 0, step + holdLead});
        result.m_isHolding = true;
    } else {
        prepare(views, *planned, result);
    }
    return result;
}

RolloutStep MapRollout::next(const std::vector<RankView> &views,
                             std::optional<std::uint64_t> planned)
{
    if (!isWhole(views))
        return {};
    const RankView &first = views.front();
    if (first.m_held && *first.m_held > first.m_step)
        return nextWhileHeld(views, *first.m_held, planned);
    return nextWhileFree(views, planned);
}

} // namespace burdockhead
