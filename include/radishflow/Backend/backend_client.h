// Declares backend_client, which runs requests on backend servers.
#pragma once

#include "radishflow/Backend/backend_client_options.h"
#include "radishflow/Backend/exchange_outcome.h"
#include "radishflow/Backend/write_gate.h"
#include "radishflow/Requests/answer_buffer.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/result.h"

#include <string>

namespace radishflow {

/// Speaks HTTP to backend servers. Thread-safe: each call has a connection of its own.
class backend_client {
public:
    explicit backend_client(const backend_client_options& options)
        : m_options(options)
    {
    }

    /// Sends a request and copies its answer into the buffer, which is ended in every case. Blocks until
    /// the answer's end, the deadline, or the reader's leaving.
    exchange_outcome run(const request_submission&, const write_gate&, answer_buffer&) const;

    /// Reads the server's metrics page.
    result<std::string> readMetrics(const server_id&) const;

    /// Reads a page of the server by GET.
    result<std::string> readPage(const server_id&, const std::string& path) const;

    /// Copies what an engine caches of a prefix to another engine. Blocks for up to two copy timeouts.
    result<void> copyPrefix(const server_id& holder, const server_id& receiver, const std::string& prefix) const;

private:
    backend_client_options m_options;
};

} // namespace radishflow
