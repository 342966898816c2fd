// Declares zone_register, which reads and changes the service state of availability zones and reconciles it with the
// platform's table.
#pragma once

#include "radishflow/Membership/register_store.h"
#include "radishflow/Membership/zone_row.h"
#include "radishflow/Support/transactional_table.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishflow {

/// Result of one reconciliation.
struct zone_reconciliation {
    std::size_t merged = 0; ///< Zones whose row in the table had the greater value, which was merged into the store.
    std::size_t written = 0; ///< Rows that this daemon updated to a greater value.
    std::size_t conflicts = 0; ///< Rows whose update conflicted with another writer; the next reconciliation reads them.
};

/// The greater value always wins, so no change is reverted by an older one. As thread-safe as the store.
template <register_store Store>
class zone_register {
public:
    explicit zone_register(Store& store)
        : m_store(store)
    {
    }

    /// Returns the state of a zone; In if it was never set.
    zone_state stateOf(const zone_id& zone) const { return zoneStateOf(m_store.registerOf(zoneKeyOf(zone))); }
    /// Returns the version that an operator has to pass to change().
    std::uint64_t versionOf(const zone_id& zone) const { return m_store.registerOf(zoneKeyOf(zone)).version; }

    /// Sets a zone's state with version `seenVersion` + 1. Fails with Conflict if the zone was changed since
    /// `seenVersion`. Of two concurrent changes based on the same version, Out wins.
    result<fleet_register> change(const zone_id& zone, zone_state state, std::uint64_t seenVersion, std::int64_t stamp)
    {
        const std::string key = zoneKeyOf(zone);
        fleet_register value { .version = seenVersion + 1, .bytes = zoneBytesOf(state), .stamp = stamp };
        if (m_store.setRegister(key, value))
            return value;
        const fleet_register known = m_store.registerOf(key);
        return fail({ .code = failure_code::Conflict,
            .step = "change zone",
            .peer = zone.value(),
            .detail = "version " + std::to_string(known.version) + " says " + known.bytes });
    }

    /// Reconciles the registers with the rows `zones/<zone>`: merges rows with greater values into the store and
    /// updates rows with smaller values. Returns the table's errors; what was done before an error stays valid, and
    /// the next call does the rest.
    template <transactional_table Table>
    result<zone_reconciliation> reconcile(Table& table)
    {
        zone_reconciliation outcome;
        BOOST_LEAF_AUTO(page, table.readRange(std::string(zoneKeyPrefix), 0));
        std::map<std::string, std::pair<fleet_register, std::int64_t>> rows;
        for (const table_row& row : page.rows) {
            // A row that can't be parsed counts as never set and is overwritten if the zone has a value.
            const fleet_register value = parseZoneRow(row.value).value_or(fleet_register {});
            rows[row.key] = { value, row.modRevision };
            if (value.version != 0 && m_store.setRegister(row.key, value))
                ++outcome.merged;
        }
        for (const auto& [key, value] : register_map { m_store.registers() }) {
            if (!key.starts_with(zoneKeyPrefix) || value <= rows[key].first)
                continue;
            BOOST_LEAF_AUTO(commit, table.commit({ { .key = key, .modRevision = rows[key].second } }, { { .key = key, .value = formatZoneRow(value) } }));
            ++(commit.succeeded ? outcome.written : outcome.conflicts);
        }
        return outcome;
    }

private:
    Store& m_store;
};

} // namespace radishflow
