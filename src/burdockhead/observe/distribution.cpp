#include <burdockhead/observe/distribution.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <mutex>

namespace burdockhead {

namespace {

namespace acc = boost::accumulators;

using Accumulators =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

constexpr std::array probabilities = {0.5, 0.95, 0.99};

// The number of markers of the P-square estimator, which needs one value for each.
constexpr std::size_t markerCount = 2 * probabilities.size() + 3;

} // namespace

struct Distribution::Private
{
    mutable std::mutex m_mutex;
    Accumulators m_accumulators{acc::extended_p_square_probabilities = probabilities};
};

Distribution::Distribution()
    : m_d(std::make_unique<Private>())
{}

Distribution::~Distribution() = default;

void Distribution::observe(double value)
{
    const std::scoped_lock lock(m_d->m_mutex);
    m_d->m_accumulators(value);
}

std::uint64_t Distribution::count() const
{
    const std::scoped_lock lock(m_d->m_mutex);
    return acc::count(m_d->m_accumulators);
}

double Distribution::sum() const
{
    const std::scoped_lock lock(m_d->m_mutex);
    return acc::sum(m_d->m_accumulators);
}

std::vector<QuantileEstimate> Distribution::quantiles() const
{
    const std::scoped_lock lock(m_d->m_mutex);
    std::vector<QuantileEstimate> estimates;
    if (acc::count(m_d->m_accumulators) < markerCount)
        return estimates;
    const auto values = acc::extended_p_square(m_d->m_accumulators);
    for (std::size_t index = 0; index < probabilities.size(); ++index)
        estimates.push_back({probabilities.at(index), values[static_cast<long>(index)]});
    return estimates;
}

} // namespace burdockhead
