// Declares member_state, the state of a daemon in the view of another.
#pragma once

#include <cstdint>

namespace radishflow {

enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer probes; still a member until the suspicion times out.
    Dead, ///< Final for its incarnation.
    Left, ///< Announced that it leaves; final for its incarnation.
};

/// Returns the name used in dumps.
const char* nameOf(member_state);

} // namespace radishflow
