#pragma once

#include <atomic>

namespace burdockhead {

// A metric that only increases. Thread-safe and lock-free.
class Counter
{
public:
    void add(double amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value = 0;
};

} // namespace burdockhead
