// Declares member_state, how a daemon stands in the view of another.
#pragma once

#include <cstdint>

namespace radishflow {

enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer; still a member until the suspicion times out.
    Dead, ///< Final for its incarnation.
    Left, ///< Said goodbye; final for its incarnation.
};

/// Returns a word for dumps.
const char* nameOf(member_state);

} // namespace radishflow
