// Declares server_gates, which decides how much work each owned server gets.
#pragma once

#include "radishflow/Backend/exchange_outcome.h"
#include "radishflow/Backend/write_gate.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/ownership_keeper.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <optional>
#include <unordered_map>

namespace radishflow {

/// Counts the work at the servers that this daemon owns. Thread-safe; rank Admission, after Ownership.
class server_gates {
public:
    server_gates(const config_store& configuration, ownership_keeper& ownership)
        : m_configuration(configuration)
        , m_ownership(ownership)
    {
    }

    /// Reserves a place at a server or says why there is none. Each reservation is followed by one call of
    /// finish; nothing may be written without the gate.
    std::optional<refusal> reserve(const request_submission&);

    /// The last check around each write to the server; the submission outlives it.
    write_gate gateFor(const request_submission&);

    /// Ends a reservation with what was seen of the server.
    void finish(const request_submission&, const exchange_outcome&);

    /// Places that are reserved at each server now.
    std::unordered_map<server_id, int> running() const;

private:
    std::optional<int> limitOf(const request_submission&) const;
    std::variant<term_number, refusal> acquire(const request_submission&);

    const config_store& m_configuration;
    ownership_keeper& m_ownership;
    mutable ranked_mutex m_mutex { lock_rank::Admission };
    std::unordered_map<server_id, int> m_running;
};

} // namespace radishflow
