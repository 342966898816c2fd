// Declares server_gates, which decides how much work each owned server gets.
#pragma once

#include "radishflow/Backend/exchange_outcome.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <unordered_map>
#include <variant>

namespace radishflow {

class config_store;

/// Counts the work at the servers that this daemon owns. Thread-safe; rank Admission.
class server_gates {
public:
    explicit server_gates(const config_store& configuration)
        : m_configuration(configuration)
    {
    }

    /// Admits one request to a server and returns the term under which it runs, or refuses it. Each
    /// admission is followed by one call of finish.
    std::variant<term_number, refusal> admit(const request_submission&);

    /// Ends an admission with what was seen of the server.
    void finish(const request_submission&, const exchange_outcome&);

    /// Requests at each server now.
    std::unordered_map<server_id, int> running() const;

private:
    const config_store& m_configuration;
    mutable ranked_mutex m_mutex { lock_rank::Admission };
    std::unordered_map<server_id, int> m_running;
};

} // namespace radishflow
