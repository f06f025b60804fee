#pragma once

#include <burdockhead/gateway/storeprotocol.h>
#include <burdockhead/gateway/storerevision.h>

#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// What a follower does with a response of the store.
enum class ViewAction : std::uint8_t {
    ApplyList,     // The collection is complete; see takeList().
    ApplyRestored, // The same, and the store has come back from an older copy.
    ApplyChanges,  // The changes continue the view.
    Continue,      // Nothing to apply; the next request is due.
    Ignore,        // The response is from before the store came back; it counts as a failure.
};

// A follower's view of one collection: which request comes next, and whether a response continues
// the view. Answers a store that comes back from an older copy, whose revisions start again: a
// response of a newer era ends the view, and the collection is listed anew.
class CollectionView
{
public:
    // Returns whether the next request is a watch, from that revision, or a list after that name.
    bool isWatching() const { return m_isWatching; }
    std::uint64_t revision() const { return m_revision.m_number; }
    const std::string &lastListedName() const { return m_lastListedName; }

    // Returns the era of the last response that was used; 0 before the first.
    std::uint64_t era() const { return m_revision.m_era; }
    std::uint64_t previousEra() const { return m_previousEra; }

    // Records a page of a list, or a watch's changes, in a response of that era.
    ViewAction recordPage(std::uint64_t era, const StorePage &page);
    ViewAction recordChanges(std::uint64_t era, const StorePage &page);

    // Returns the complete list after recordPage() said to apply it.
    std::vector<StoreChange> takeList();

    // The collection has to be listed from its start.
    void startOver();

private:
    bool isRestored(std::uint64_t era);

    bool m_isWatching = false;
    StoreRevision m_revision;
    std::uint64_t m_previousEra = 0;
    bool m_hasRestoredList = false; // The list that is being read is the first of a new era.
    std::string m_lastListedName;
    std::vector<StoreChange> m_listed;
};

} // namespace burdockhead
