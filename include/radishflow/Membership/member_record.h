// Declares member_record, a small named value that a daemon publishes about itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace radishflow {

struct member_record {
    static constexpr std::size_t maxBytes = 200;
    static constexpr std::size_t maxKeyBytes = 32;
    static constexpr std::size_t maxPerMember = 8;

    std::uint64_t version = 0; ///< Increases with each change within an incarnation.
    std::string bytes;
};

} // namespace radishflow
