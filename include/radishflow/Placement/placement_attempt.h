// Declares an attempt to place a request at a server, and the refusal that the server's owner may return.
#pragma once

#include "radishflow/Placement/cache_sketch.h"

#include <cstdint>
#include <optional>

namespace radishflow {

/// An attempt to place a request, sent to the owner of one server.
struct placement_attempt {
    std::uint32_t server = 0; ///< Index into the ranked servers.
    bool onlyIfHeld = false; ///< The owner admits the request only if the prefix is probably held.
    std::optional<std::uint32_t> holder; ///< Full server that holds the prefix and from which it can be imported.
};

/// Why an owner did not admit the request. The default values stand for an owner that cannot be reached.
struct owner_refusal {
    bool hasRoom = false; ///< The server would admit the request if the prefix were not required.
    double load = 1; ///< Current load as a share of what the server admits now.
    prefix_state held = prefix_state::Unknown;
};

/// Returns whether an owner with room admits this attempt, given the state of the prefix.
constexpr bool acceptsAttempt(const placement_attempt& attempt, prefix_state state)
{
    return !attempt.onlyIfHeld || isProbablyHeld(state);
}

} // namespace radishflow
