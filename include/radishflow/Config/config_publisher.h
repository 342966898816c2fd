// Declares config_publisher, which puts a new configuration in force.
#pragma once

#include "radishflow/Config/config_manifest.h"
#include "radishflow/Config/config_pointer.h"
#include "radishflow/Config/fleet_config.h"
#include "radishflow/Config/object_store.h"
#include "radishflow/Config/publish_outcome.h"
#include "radishflow/Support/transactional_table.h"

#include <map>
#include <set>
#include <string>

namespace radishflow {

/// Writes immutable objects and moves the version row by compare-and-set. Thread-safe as its stores are.
template <transactional_table Table, object_store Objects>
class config_publisher {
public:
    config_publisher(Table& table, Objects& objects)
        : m_table(table)
        , m_objects(objects)
    {
    }

    /// Returns what is in force; version 0 when nothing was published.
    result<config_pointer> current()
    {
        BOOST_LEAF_AUTO(row, readRow());
        return pointerOf(row);
    }

    /// Puts a configuration in force as version base + 1, unless the version in force is not `base`.
    /// Fails with failure_code::ReplyLost when that can't be settled; publishing again is safe.
    result<publish_outcome> publish(const fleet_config& config, config_version base)
    {
        const std::map<std::string, std::string> parts = splitConfig(config);
        config_manifest manifest;
        for (const auto& [name, text] : parts)
            manifest.objectKeys.emplace(name, configObjectKey(text));
        const std::string manifestText = encode(manifest);
        const config_pointer next { .version = base.next(), .objectKey = configObjectKey(manifestText) };
        BOOST_LEAF_AUTO(row, readRow());
        BOOST_LEAF_AUTO(before, pointerOf(row));
        if (before == next)
            return publish_outcome { .isAccepted = true, .current = before };
        if (before.version != base)
            return publish_outcome { .isAccepted = false, .current = before };
        const std::set<std::string> storedKeys = keysOf(before);
        for (const auto& [name, text] : parts) {
            const std::string& key = manifest.objectKeys.at(name);
            if (storedKeys.contains(key))
                continue;
            if (result<void> stored = storeObject(key, text); !stored)
                return stored.error();
        }
        if (result<void> stored = storeObject(next.objectKey, manifestText); !stored)
            return stored.error();
        return movePointer(row.modRevision, next);
    }

private:
    result<table_row> readRow()
    {
        BOOST_LEAF_AUTO(page, m_table.readRange(configPointerKey, 0));
        for (table_row& row : page.rows) {
            if (row.key == configPointerKey)
                return std::move(row);
        }
        return table_row {};
    }

    static result<config_pointer> pointerOf(const table_row& row)
    {
        if (row.modRevision == 0)
            return config_pointer {};
        return decodeConfigPointer(row.value);
    }

    // The parts of the version in force need no second write. Without its manifest each one is written.
    std::set<std::string> keysOf(const config_pointer& pointer)
    {
        return valueOr(
            [&]() -> result<std::set<std::string>> {
                BOOST_LEAF_AUTO(text, m_objects.getObject(pointer.objectKey));
                BOOST_LEAF_AUTO(manifest, decodeConfigManifest(text));
                std::set<std::string> keys;
                for (const auto& [name, key] : manifest.objectKeys)
                    keys.insert(key);
                return keys;
            },
            [](const failure&) { return std::set<std::string> {}; });
    }

    // Whatever the put's reply was, only what reads back counts: an object that another publisher wrote
    // is the same object, and a lost reply says nothing.
    result<void> storeObject(const std::string& key, const std::string& text)
    {
        const bool isStored = valueOr(
            [&]() -> result<bool> {
                if (result<void> put = m_objects.putObject(key, text); !put)
                    return put.error();
                return true;
            },
            [](const failure&) { return false; });
        if (isStored)
            return {};
        BOOST_LEAF_AUTO(stored, m_objects.getObject(key));
        if (stored != text)
            return fail({ .code = failure_code::Conflict, .step = "store configuration", .peer = key, .detail = "another text has this hash" });
        return {};
    }

    result<publish_outcome> movePointer(std::int64_t modRevision, const config_pointer& next)
    {
        result<table_commit> commit = m_table.commit({ { .key = configPointerKey, .modRevision = modRevision } }, { { .key = configPointerKey, .value = encode(next) } });
        if (commit && commit->succeeded)
            return publish_outcome { .isAccepted = true, .current = next };
        if (commit) {
            BOOST_LEAF_AUTO(now, current());
            return publish_outcome { .isAccepted = now == next, .current = now };
        }
        // The reply was lost; the row tells whether this publisher was first. When the row can't be read, what is
        // told is that the outcome isn't known, not that the read failed.
        const config_pointer now = valueOr([&] { return current(); }, [](const failure&) { return config_pointer {}; });
        if (now == next)
            return publish_outcome { .isAccepted = true, .current = now };
        if (now.version == next.version)
            return publish_outcome { .isAccepted = false, .current = now };
        return commit.error();
    }

    Table& m_table;
    Objects& m_objects;
};

} // namespace radishflow
