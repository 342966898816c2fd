// Implements the texts of refusal reasons.
#include "radishflow/Terms/permit.h"

namespace radishflow {

const char* nameOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::None:
        return "none";
    case refusal_reason::NotOwner:
        return "not owner";
    case refusal_reason::Unsettled:
        return "unsettled";
    case refusal_reason::AtLimit:
        return "at limit";
    case refusal_reason::AtGraceShare:
        return "at dark share";
    case refusal_reason::WindowFull:
        return "window full";
    case refusal_reason::HandingOver:
        return "handing over";
    }
    return "unknown";
}

} // namespace radishflow
