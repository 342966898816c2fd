// Declares request_runner, which runs requests at the owner of a server.
#pragma once

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Daemon/prefix_tracker.h"
#include "radishflow/Daemon/server_admission.h"
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

/// Admits and runs submissions at the servers that this daemon owns. Thread-safe.
class request_runner {
public:
    request_runner(server_admission&, const backend_client&, prefix_tracker&, int maxThreads);

    /// Admits and starts a submission, or returns the reason of a refusal. Does not wait for the server.
    submit_outcome submit(const request_submission&);

    answer_part read(const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait, std::size_t maxBytes);
    void cancel(const std::string& streamId);

    /// Discards responses that are no longer read; called about once a second.
    void sweep();

    std::size_t streams() const { return m_streams.size(); }
    std::size_t undelivered() const { return m_streams.undelivered(); }

private:
    void copyPrefix(const request_submission&) const;
    void runAdmitted(const request_submission&, answer_buffer&);

    server_admission& m_admission;
    const backend_client& m_client;
    prefix_tracker& m_prefixes;
    stream_table m_streams;
    worker_pool m_workers;
};

} // namespace radishflow
