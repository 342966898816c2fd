// Implements the wording of failures.
#include "radishflow/Support/failure.h"

namespace radishflow {

const char* nameOf(failure_code code)
{
    switch (code) {
    case failure_code::InvalidInput:
        return "invalid input";
    case failure_code::NotFound:
        return "not found";
    case failure_code::Conflict:
        return "conflict";
    case failure_code::Unreachable:
        return "unreachable";
    case failure_code::ReplyLost:
        return "reply lost";
    case failure_code::TimedOut:
        return "timed out";
    case failure_code::Refused:
        return "refused";
    case failure_code::Broken:
        return "broken";
    case failure_code::ShuttingDown:
        return "shutting down";
    }
    return "unknown";
}

std::string describe(const failure& error)
{
    std::string text = error.step + ": " + nameOf(error.code);
    if (!error.peer.empty())
        text += " at " + error.peer;
    if (!error.detail.empty())
        text += ": " + error.detail;
    return text;
}

} // namespace radishflow
