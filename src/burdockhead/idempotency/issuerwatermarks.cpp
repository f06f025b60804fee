#include <burdockhead/idempotency/issuerwatermarks.h>

#include <algorithm>

namespace burdockhead {

IssuerWatermarks::IssuerWatermarks(std::size_t maxIssuers, Duration retention)
    : m_maxIssuers(maxIssuers)
    , m_retention(retention)
{}

void IssuerWatermarks::raise(std::uint64_t issuer, std::uint64_t number, TimePoint now)
{
    Watermark &watermark = m_watermarks[issuer];
    watermark.m_number = std::max(watermark.m_number, number);
    watermark.m_expiresAt = now + m_retention;
}

bool IssuerWatermarks::mayHaveBeenSeen(std::uint64_t issuer, std::uint64_t number) const
{
    const auto found = m_watermarks.find(issuer);
    return found != m_watermarks.end() && number <= found->second.m_number;
}

bool IssuerWatermarks::canTrack(std::uint64_t issuer, TimePoint now)
{
    if (m_watermarks.size() < m_maxIssuers || m_watermarks.contains(issuer))
        return true;
    std::erase_if(m_watermarks, [now](const auto &item) { return item.second.m_expiresAt < now; });
    return m_watermarks.size() < m_maxIssuers;
}

} // namespace burdockhead
