#include <burdockhead/routing/refusalreason.h>

#include <algorithm>
#include <array>

namespace burdockhead {

namespace {

struct Reason
{
    GateVerdict m_verdict;
    ErrorKind m_kind;
};

// The nearest to a permission first.
constexpr std::array<Reason, 6> reasons = {{
    {GateVerdict::Full, ErrorKind::Overloaded},
    {GateVerdict::Cold, ErrorKind::EndpointCold},
    {GateVerdict::Failing, ErrorKind::NoEndpoint},
    {GateVerdict::NotEligible, ErrorKind::NoEndpoint},
    {GateVerdict::Leaving, ErrorKind::EndpointLeaving},
    {GateVerdict::DataCentreOut, ErrorKind::DataCentreOut},
}};

std::size_t placeOf(GateVerdict verdict)
{
    const auto found =
        std::find_if(reasons.begin(), reasons.end(),
                     [verdict](const Reason &reason) { return reason.m_verdict == verdict; });
    return static_cast<std::size_t>(found - reasons.begin());
}

} // namespace

ErrorKind refusalReason(const ChoiceContext &context)
{
    std::size_t nearest = reasons.size();
    context.forEachReplica(
        [&](ReplicaIndex index) { nearest = std::min(nearest, placeOf(context.verdict(index))); });
    return nearest < reasons.size() ? reasons.at(nearest).m_kind : ErrorKind::NoEndpoint;
}

} // namespace burdockhead
