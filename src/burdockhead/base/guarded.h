#pragma once

#include <mutex>
#include <utility>

namespace burdockhead {

// A table that several threads share, with its lock. The table can only be reached through
// lock(), whose result holds the lock as long as it lives. Nothing that takes another lock
// may be called meanwhile, but for what docs/LOCKS.md allows.
template <typename Table>
class Guarded
{
public:
    class Access
    {
    public:
        Access(Table &table, std::mutex &mutex)
            : m_lock(mutex)
            , m_table(table)
        {}

        Table *operator->() const { return &m_table; }
        Table &operator*() const { return m_table; }

    private:
        std::unique_lock<std::mutex> m_lock;
        Table &m_table;
    };

    template <typename... Arguments>
    explicit Guarded(Arguments &&...arguments)
        : m_table(std::forward<Arguments>(arguments)...)
    {}

    Access lock() { return Access(m_table, m_mutex); }
    Access lock() const { return Access(m_table, m_mutex); }

private:
    mutable std::mutex m_mutex;
    mutable Table m_table;
};

} // namespace burdockhead
