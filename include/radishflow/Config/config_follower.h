// Declares config_follower, which keeps a daemon's configuration up to date from the table.
#pragma once

#include "radishflow/Config/config_store.h"
#include "radishflow/Config/object_store.h"
#include "radishflow/Support/transactional_table.h"

namespace radishflow {

/// One poll reads one row; objects are read only when the version is higher. Thread-safe as its parts are.
template <transactional_table Table, object_store Objects>
class config_follower {
public:
    config_follower(Table& table, Objects& objects, config_store& store)
        : m_table(table)
        , m_objects(objects)
        , m_store(store)
    {
    }

    /// Returns whether a higher version came into force.
    result<bool> poll()
    {
        BOOST_LEAF_AUTO(page, m_table.readRange(configPointerKey, 0));
        for (const table_row& row : page.rows) {
            if (row.key != configPointerKey)
                continue;
            BOOST_LEAF_AUTO(pointer, decodeConfigPointer(row.value));
            return fetch(pointer);
        }
        return false;
    }

    /// Fetches a version that a peer told of. Returns whether it came into force.
    result<bool> fetch(const config_pointer& pointer)
    {
        if (pointer.version <= m_store.version())
            return false;
        BOOST_LEAF_AUTO(text, m_objects.getObject(pointer.objectKey));
        return m_store.accept(pointer, std::move(text));
    }

private:
    Table& m_table;
    Objects& m_objects;
    config_store& m_store;
};

} // namespace radishflow
