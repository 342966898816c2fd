// Declares zone_register, which zones are in service as operators and the platform's table agree.
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

/// What one reconciliation did.
struct zone_reconciliation {
    std::size_t learned = 0; ///< Zones where the table's row was greater.
    std::size_t written = 0; ///< Rows that this daemon raised.
    std::size_t lost = 0; ///< Rows that another writer changed first; the next reconciliation reads them.
};

/// The greater value holds everywhere, so nothing reverts. As thread-safe as the store.
template <register_store Store>
class zone_register {
public:
    explicit zone_register(Store& store)
        : m_store(store)
    {
    }

    /// Returns In for a zone that no operator ever touched.
    zone_state stateOf(const zone_id& zone) const { return zoneStateOf(m_store.registerOf(zoneKeyOf(zone))); }
    /// Returns what an operator has to pass back to change the zone.
    std::uint64_t versionOf(const zone_id& zone) const { return m_store.registerOf(zoneKeyOf(zone)).version; }

    /// Sets a zone's state with the version after the one that the operator saw. Fails with Conflict when the
    /// zone was changed since; of two changes at once from the same version, taking out wins.
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

    /// Brings registers and rows `zones/<zone>` together: reads the rows, takes over greater ones, and raises
    /// smaller ones. Fails as the table does; then nothing is lost and the next call continues.
    template <transactional_table Table>
    result<zone_reconciliation> reconcile(Table& table)
    {
        zone_reconciliation outcome;
        BOOST_LEAF_AUTO(page, table.readRange(std::string(zoneKeyPrefix), 0));
        std::map<std::string, std::pair<fleet_register, std::int64_t>> rows;
        for (const table_row& row : page.rows) {
            // A row that can't be read counts as never set, and is overwritten by a known value.
            const fleet_register value = parseZoneRow(row.value).value_or(fleet_register {});
            rows[row.key] = { value, row.modRevision };
            if (value.version != 0 && m_store.setRegister(row.key, value))
                ++outcome.learned;
        }
        for (const auto& [key, value] : register_map { m_store.registers() }) {
            if (!key.starts_with(zoneKeyPrefix) || value <= rows[key].first)
                continue;
            BOOST_LEAF_AUTO(commit, table.commit({ { .key = key, .modRevision = rows[key].second } }, { { .key = key, .value = formatZoneRow(value) } }));
            ++(commit.succeeded ? outcome.written : outcome.lost);
        }
        return outcome;
    }

private:
    Store& m_store;
};

} // namespace radishflow
