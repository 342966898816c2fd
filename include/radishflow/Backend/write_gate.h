// Declares write_gate, the owner's last check around each write to a backend server.
#pragma once

#include "radishflow/Requests/refusal.h"
#include "radishflow/Support/ids.h"

#include <chrono>
#include <functional>
#include <variant>

namespace radishflow {

/// Every try at a server passes the gate: acquire, then written, then released.
struct write_gate {
    std::function<std::variant<term_number, refusal>()> acquire; ///< Called once the connection stands.
    std::function<void(term_number)> written;
    std::function<void(term_number)> released; ///< The server no longer works for this try.
    std::function<void(std::chrono::milliseconds)> firstByte; ///< The answer began so long after the write.
    std::function<void()> reset; ///< The connection broke; called before anybody is told.
};

} // namespace radishflow
