// Declares soak_call, the record of one call that a caller of the soak made.
#pragma once

#include "caller_connection.h"

#include <chrono>
#include <string>

namespace radishflow {

enum class soak_call_kind {
    Read, ///< Idempotent; may run twice.
    Order, ///< Not idempotent; runs at most once.
    Stream, ///< Breaks off when its server breaks it off.
    ResumableStream, ///< Continues at another server when its server breaks it off.
};

struct soak_call {
    std::string id;
    soak_call_kind kind = soak_call_kind::Read;
    int daemon = 0;
    int keyNumber = 1;
    std::chrono::milliseconds begin { 0 }; ///< Since the start of the soak.
    std::chrono::milliseconds end { 0 };
    received_response response;
};

} // namespace radishflow
