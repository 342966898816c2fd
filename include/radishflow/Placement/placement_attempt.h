// Declares one attempt of a walk over a chat's servers and the refusal that may answer it.
#pragma once

#include "radishflow/Placement/cache_sketch.h"

#include <cstdint>
#include <optional>

namespace radishflow {

/// What the entry asks the owner of one server.
struct placement_attempt {
    std::uint32_t server = 0; ///< Index into the servers that were ranked.
    bool onlyIfHeld = false; ///< The owner takes the request only when it believes the prefix to be held.
    std::optional<std::uint32_t> holder; ///< Full server that holds the prefix, to import it from.
};

/// Why an owner did not take the request; as it stands for an owner that can't be reached.
struct owner_refusal {
    bool hasRoom = false; ///< It would take the request although the prefix is not held.
    double load = 1; ///< Its exact load as a share of what it admits now.
    prefix_state held = prefix_state::Unknown;
};

/// Whether an owner that has room takes the request of this step.
constexpr bool acceptsAttempt(const placement_attempt& step, prefix_state state)
{
    return !step.onlyIfHeld || isProbablyHeld(state);
}

} // namespace radishflow
