#include <burdockhead/gateway/collectionview.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

// Adopts a newer era; the view of the previous one is of no use any more.
bool CollectionView::isRestored(std::uint64_t era)
{
    if (era <= m_revision.m_era)
        return false;
    // The first response tells the era that the process starts in.
    const bool hasView = m_revision != StoreRevision();
    m_previousEra = std::exchange(m_revision.m_era, era);
    m_revision.m_number = 0;
    m_hasRestoredList = hasView;
    return hasView;
}

ViewAction CollectionView::recordPage(std::uint64_t era, const StorePage &page)
{
    if (era < m_revision.m_era)
        return ViewAction::Ignore;
    const bool isFirstPage = m_lastListedName.empty();
    if (isRestored(era) && !isFirstPage) {
        startOver();
        return ViewAction::Continue;
    }
    // Uses the revision of the first page: changes made while later pages were read are returned by
    // the watch.
    if (isFirstPage) {
        m_listed.clear();
        m_revision.m_number = page.m_revision;
    }
    m_listed.insert(m_listed.end(), page.m_changes.begin(), page.m_changes.end());
    if (page.m_hasMore && !page.m_changes.empty()) {
        m_lastListedName = page.m_changes.back().m_name;
        return ViewAction::Continue;
    }
    m_lastListedName.clear();
    m_isWatching = true;
    return std::exchange(m_hasRestoredList, false) ? ViewAction::ApplyRestored
                                                   : ViewAction::ApplyList;
}

ViewAction CollectionView::recordChanges(std::uint64_t era, const StorePage &page)
{
    if (era < m_revision.m_era)
        return ViewAction::Ignore;
    if (isRestored(era)) {
        startOver();
        return ViewAction::Continue;
    }
    m_revision.m_number = std::max(m_revision.m_number, page.m_revision);
    return page.m_changes.empty() ? ViewAction::Continue : ViewAction::ApplyChanges;
}

std::vector<StoreChange> CollectionView::takeList()
{
    return std::exchange(m_listed, {});
}

void CollectionView::startOver()
{
    m_isWatching = false;
    m_lastListedName.clear();
    m_listed.clear();
}

} // namespace burdockhead
