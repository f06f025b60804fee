#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace burdockhead {

// An estimate of a quantile of all observed values.
struct QuantileEstimate
{
    double m_probability = 0;
    double m_value = 0;
};

// Count, sum and quantile estimates of observed values since the start. Thread-safe with a
// lock of its own.
class Distribution
{
public:
    Distribution();
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    void observe(double value);

    std::uint64_t count() const;
    double sum() const;

    // Estimates of the median, 0.95 and 0.99 quantiles; empty while there are too few values.
    std::vector<QuantileEstimate> quantiles() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
