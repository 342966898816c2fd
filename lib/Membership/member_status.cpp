// Implements member_status, and nameOf() for member_state.
#include "radishflow/Membership/member_status.h"

namespace radishflow {

member_state member_status::state() const
{
    switch (terminal) {
    case terminal_state::Dead:
        return member_state::Dead;
    case terminal_state::Left:
        return member_state::Left;
    case terminal_state::None:
        break;
    }
    return isSuspect ? member_state::Suspect : member_state::Alive;
}

const char* nameOf(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Suspect:
        return "suspect";
    case member_state::Dead:
        return "dead";
    case member_state::Left:
        return "left";
    }
    return "unknown";
}

} // namespace radishflow
