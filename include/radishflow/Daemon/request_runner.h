// Declares request_runner, the owner's side of a request.
#pragma once

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Daemon/prefix_watch.h"
#include "radishflow/Daemon/server_gates.h"
#include "radishflow/Daemon/stream_table.h"
#include "radishflow/Requests/answer_part.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Requests/submit_outcome.h"
#include "radishflow/Threads/worker_pool.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace radishflow {

/// Admits submissions to the servers that this daemon owns and runs them. Thread-safe.
class request_runner {
public:
    request_runner(server_gates&, const backend_client&, prefix_watch&, int mostThreads);

    /// Admits and starts a submission, or says why not. Never waits for the server.
    submit_outcome submit(const request_submission&);

    answer_part read(const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait, std::size_t most);
    void cancel(const std::string& streamId);

    /// Drops answers that nobody reads; called about once a second.
    void sweep();

    std::size_t streams() const { return m_streams.size(); }
    std::size_t undelivered() const { return m_streams.undelivered(); }

private:
    void copyPrefix(const request_submission&) const;
    void runAdmitted(const request_submission&, answer_buffer&);

    server_gates& m_gates;
    const backend_client& m_client;
    prefix_watch& m_prefixes;
    stream_table m_streams;
    worker_pool m_workers;
};

} // namespace radishflow
