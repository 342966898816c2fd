// Declares answer_part, a run of bytes of an answer with what is known of the whole.
#pragma once

#include "radishflow/Requests/refusal.h"

#include <cstdint>
#include <optional>
#include <string>

namespace radishflow {

/// Bytes of an answer's body from an offset on.
struct answer_part {
    std::string data;
    std::uint64_t offset = 0; ///< Place of the first byte of data in the body.
    bool finished = false; ///< The whole body ends with data.
    bool broken = false; ///< The body ends short and will not go on; see refused.
    int status = 0; ///< HTTP status; 0 while nothing has arrived.
    std::string contentType;
    std::optional<refusal> refused; ///< Why nothing, or nothing more, comes.
};

} // namespace radishflow
