// Declares work_kind, which determines whether requests of a route may be repeated.
#pragma once

namespace radishflow {

enum class work_kind {
    Idempotent,
    NonIdempotent, ///< A request runs at most once.
    Stream, ///< Answered with a stream of events; repeated only if the route allows streams to be resumed.
};

} // namespace radishflow
