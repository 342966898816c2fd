// Declares work_kind, what may be repeated of a route's requests.
#pragma once

namespace radishflow {

enum class work_kind {
    Idempotent,
    NonIdempotent, ///< Runs at most once.
    Stream, ///< Answered by a series of events; repeated only where the route lets a stream resume.
};

} // namespace radishflow
