// Declares lock_releasing_table, which releases a lock during calls to the platform's table.
#pragma once

#include "radishflow/Support/ranked_mutex.h"
#include "radishflow/Support/transactional_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// Releases the lock held by the calling thread for the duration of each call.
template <transactional_table Table>
class lock_releasing_table {
public:
    lock_releasing_table(Table& table, ranked_mutex& mutex)
        : m_table(table)
        , m_mutex(mutex)
    {
    }

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision)
    {
        const reversed_lock unlocked { m_mutex };
        return m_table.readRange(prefix, minModRevision);
    }

    result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
    {
        const reversed_lock unlocked { m_mutex };
        return m_table.commit(conditions, writes);
    }

private:
    struct reversed_lock {
        explicit reversed_lock(ranked_mutex& held)
            : mutex(held)
        {
            mutex.unlock();
        }
        ~reversed_lock() { mutex.lock(); }
        reversed_lock(const reversed_lock&) = delete;
        reversed_lock& operator=(const reversed_lock&) = delete;

        ranked_mutex& mutex;
    };

    Table& m_table;
    ranked_mutex& m_mutex;
};

} // namespace radishflow
