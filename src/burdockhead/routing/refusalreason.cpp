#include <burdockhead/routing/refusalreason.h>

#include <algorithm>
#include <array>

namespace burdockhead {

namespace {

struct Reason
{
    FilterVerdict m_verdict;
    ErrorKind m_kind;
};

// Ordered by how soon the reason is expected to clear, the soonest first.
constexpr std::array<Reason, 6> reasons = {{
    {FilterVerdict::QueueFull, ErrorKind::Overloaded},
    {FilterVerdict::ColdShareExhausted, ErrorKind::EndpointCold},
    {FilterVerdict::BreakerOpen, ErrorKind::NoEndpoint},
    {FilterVerdict::NotEligible, ErrorKind::NoEndpoint},
    {FilterVerdict::Leaving, ErrorKind::EndpointLeaving},
    {FilterVerdict::DataCentreOut, ErrorKind::DataCentreOut},
}};

std::size_t indexOf(FilterVerdict verdict)
{
    const auto found =
        std::find_if(reasons.begin(), reasons.end(),
                     [verdict](const Reason &reason) { return reason.m_verdict == verdict; });
    return static_cast<std::size_t>(found - reasons.begin());
}

} // namespace

ErrorKind refusalReason(const ChoiceContext &context)
{
    std::size_t best = reasons.size();
    context.forEachReplica(
        [&](ReplicaIndex index) { best = std::min(best, indexOf(context.verdict(index))); });
    return best < reasons.size() ? reasons.at(best).m_kind : ErrorKind::NoEndpoint;
}

} // namespace burdockhead
