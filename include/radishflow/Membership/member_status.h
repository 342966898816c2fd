// Declares member_status, the totally ordered status of a member.
#pragma once

#include "radishflow/Membership/member_state.h"
#include "radishflow/Support/ids.h"

#include <compare>
#include <cstdint>

namespace radishflow {

/// Of two statuses the greater wins, so merges are commutative and idempotent.
struct member_status {
    /// How an incarnation ended, in ascending order of precedence.
    enum class terminal_state : std::uint8_t {
        None,
        Dead,
        Left,
    };

    incarnation_number incarnation;
    terminal_state terminal = terminal_state::None;
    std::uint64_t refutation = 0; ///< Raised by the member itself to refute a suspicion.
    bool isSuspect = false;

    member_state state() const;
    bool isTerminal() const { return terminal != terminal_state::None; }

    friend auto operator<=>(const member_status&, const member_status&) = default;
    friend bool operator==(const member_status&, const member_status&) = default;
};

} // namespace radishflow
