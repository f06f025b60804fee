#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace burdockhead {

// An estimated quantile of all observed values.
struct QuantileEstimate
{
    double m_probability = 0;
    double m_value = 0;
};

// Tracks the count, sum and estimated quantiles of all values observed since the start.
// Thread-safe; uses an internal lock.
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

    // Returns estimates of the 0.5, 0.95 and 0.99 quantiles; empty while there are too few values.
    std::vector<QuantileEstimate> quantiles() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
