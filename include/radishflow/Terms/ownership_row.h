// Declares the table row that records which daemon owns a backend server.
#pragma once

#include "radishflow/Terms/residual_share.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishflow {

/// Row "terms/owners/<server>". Former holders are sorted by term.
struct ownership_row {
    daemon_id daemon;
    incarnation_number incarnation;
    term_number term;
    bool isReleased = false;
    std::vector<residual_share> formerHolders;

    friend bool operator==(const ownership_row&, const ownership_row&) = default;
};

std::string ownershipKey(const server_id&);

/// Returns the server of an ownership row's key, or nothing for another key.
std::optional<server_id> serverOfOwnershipKey(std::string_view key);

/// Formats the row as space-separated fields; names must not contain spaces.
std::string format(const ownership_row&);

/// Returns nothing when the text is not an ownership row.
std::optional<ownership_row> parseOwnershipRow(std::string_view);

} // namespace radishflow
