// Declares config_follower, which keeps a daemon's configuration up to date from the table.
#pragma once

#include "radishflow/Config/config_store.h"
#include "radishflow/Config/object_store.h"
#include "radishflow/Support/transactional_table.h"

namespace radishflow {

/// Brings a version into force that the table or a peer told of, from a source of its objects. Reads only
/// the parts that are not held yet. Returns whether it came into force.
template <object_source Objects>
result<bool> fetchConfig(Objects& source, const config_pointer& pointer, config_store& store)
{
    if (pointer.version <= store.version())
        return false;
    std::map<std::string, std::string> objects;
    BOOST_LEAF_AUTO(manifestText, source.getObject(pointer.objectKey));
    BOOST_LEAF_AUTO(manifest, decodeConfigManifest(manifestText));
    objects.emplace(pointer.objectKey, std::move(manifestText));
    for (const std::string& key : store.missingObjects(manifest)) {
        BOOST_LEAF_AUTO(text, source.getObject(key));
        objects.emplace(key, std::move(text));
    }
    return store.accept(pointer, std::move(objects));
}

/// One poll reads one row; objects are read only when the version is higher. Thread-safe as its parts are.
template <transactional_table Table, object_source Objects>
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
            return fetchConfig(m_objects, pointer, m_store);
        }
        return false;
    }

private:
    Table& m_table;
    Objects& m_objects;
    config_store& m_store;
};

} // namespace radishflow
