#pragma once

#include <burdockhead/net/clientbudget.h>

#include <cstddef>
#include <utility>

namespace burdockhead {

// The bytes of a budget that a request in work takes, until this is destroyed.
class ClientCharge
{
public:
    ClientCharge(ClientBudgetPointer budget, std::size_t bytes)
        : m_budget(std::move(budget))
        , m_bytes(bytes)
    {}

    ClientCharge(ClientCharge &&other) noexcept
        : m_budget(std::move(other.m_budget))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {}

    ~ClientCharge()
    {
        if (m_budget)
            m_budget->release(m_bytes);
    }

    ClientCharge(const ClientCharge &) = delete;
    ClientCharge &operator=(const ClientCharge &) = delete;
    ClientCharge &operator=(ClientCharge &&) = delete;

private:
    ClientBudgetPointer m_budget;
    std::size_t m_bytes;
};

} // namespace burdockhead
