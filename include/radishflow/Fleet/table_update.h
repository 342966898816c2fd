// Declares table_update and table_progress, which state how far a daemon has followed one of the platform's tables.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishflow {

/// The newest change of a table as of one reading of the store's clock.
struct table_update {
    std::chrono::milliseconds storeTime { 0 }; ///< Reading of the store's clock; zero before the first reading.
    std::uint64_t lastChangeRevision = 0; ///< Revision of the newest change of the table.
    std::uint64_t era = 0; ///< Rises each time the store gives out revisions again.
    std::vector<std::chrono::milliseconds> recentReadings; ///< Readings of the store's clock up to storeTime that the fleet received, the newest one first.

    /// Returns whether the update contains changes that a copy of the table, synced up to a revision of an era, lacks.
    bool isNewerThan(std::uint64_t copyEra, std::uint64_t syncedRevision) const
    {
        return copyEra < era || (copyEra == era && syncedRevision < lastChangeRevision);
    }

    /// Encodes the update, except for its era and time, as the value of the fleet's register.
    std::string encode() const;
    /// Decodes the value of the fleet's register; fields that are missing or malformed are left out.
    static table_update decode(std::string_view bytes, std::chrono::milliseconds storeTime, std::uint64_t era);
};

/// How far this daemon itself has followed a table.
struct table_progress {
    table_update update;
    std::uint64_t syncedRevision = 0; ///< All changes up to and including this revision have been received.
};

} // namespace radishflow
