// Declares failure, the error object that results carry through Boost.LEAF.
#pragma once

#include <string>

namespace radishflow {

/// What went wrong, in terms that decide what happens next.
enum class failure_code {
    InvalidInput,
    NotFound,
    Conflict, ///< A conditional write lost against another writer.
    Unreachable, ///< Nothing was sent: the peer refused or could not be reached.
    ReplyLost, ///< Something may have been sent and its outcome is not known.
    TimedOut,
    Refused, ///< The peer answered that it won't.
    Broken, ///< The peer answered with something that is not valid.
    ShuttingDown,
};

/// An error with the step and the peer at which it arose.
struct failure {
    failure_code code = failure_code::Broken;
    std::string step; ///< What was being done, such as "claim order".
    std::string peer; ///< Who answered or didn't, such as "127.0.0.1:7001"; empty when local.
    std::string detail;
};

/// Returns a word for logs and problem details.
const char* nameOf(failure_code);

/// Returns one line with step, peer and detail.
std::string describe(const failure&);

} // namespace radishflow
