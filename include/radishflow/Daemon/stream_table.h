// Declares stream_table, the responses in progress at an owner.
#pragma once

#include "radishflow/Requests/answer_buffer.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

namespace radishflow {

/// Responses by stream id. Thread-safe; rank Streams.
class stream_table {
public:
    /// Adds a response. Returns false when the id is in use: an attempt runs at most once. Earlier attempts at the
    /// same request are superseded.
    bool add(const std::string& streamId, const request_id&, std::shared_ptr<answer_buffer>, time_point now);

    /// Returns a response and records the time of the read; nullptr for an unknown stream.
    std::shared_ptr<answer_buffer> find(const std::string& streamId, time_point now);

    /// Signals the writer that the response is no longer read, and removes it.
    void abandon(const std::string& streamId);

    /// Abandons responses that have not been read for longer than the bound.
    void sweep(time_point now, duration unreadBound);

    std::size_t size() const;

    /// Returns the number of responses that have not been read to the end.
    std::size_t undelivered() const;

private:
    void removeNewest(const std::string& streamId, const request_id&);

    struct entry {
        request_id request;
        std::shared_ptr<answer_buffer> answer;
        time_point lastRead;
    };

    mutable ranked_mutex m_mutex { lock_rank::Streams };
    std::unordered_map<std::string, entry> m_entries;
    std::unordered_map<request_id, std::string> m_newest; ///< Stream of the newest attempt at a request.
};

} // namespace radishflow
