// Declares stream_table, the answers that an owner has under way.
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

/// Answers by stream id. Thread-safe; rank Streams.
class stream_table {
public:
    /// Adds an answer. Returns false when the id is taken: an attempt runs at most once. Earlier attempts at the
    /// same request are superseded.
    bool add(const std::string& streamId, const request_id&, std::shared_ptr<answer_buffer>, time_point now);

    /// Returns nullptr for an unknown stream; notes that it is read.
    std::shared_ptr<answer_buffer> find(const std::string& streamId, time_point now);

    /// Tells the writer of the answer that nobody reads it, and forgets it.
    void abandon(const std::string& streamId);

    /// Abandons answers that nobody has read for longer than the bound.
    void sweep(time_point now, duration unreadBound);

    std::size_t size() const;

    /// Answers whose end nobody has read yet.
    std::size_t undelivered() const;

private:
    void forgetNewest(const std::string& streamId, const request_id&);

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
