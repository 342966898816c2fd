// Declares soak_call, one call of a soak as its caller saw it.
#pragma once

#include "caller_connection.h"

#include <chrono>
#include <string>

namespace radishflow {

enum class soak_call_kind {
    Read, ///< May be repeated once.
    Order, ///< Runs at most once.
    Stream, ///< Ends broken when its server breaks it.
    ResumableStream,
};

struct soak_call {
    std::string id;
    soak_call_kind kind = soak_call_kind::Read;
    int daemon = 0;
    int keyNumber = 1;
    std::chrono::milliseconds begin { 0 }; ///< From the beginning of the soak.
    std::chrono::milliseconds end { 0 };
    caller_answer answer;
};

} // namespace radishflow
