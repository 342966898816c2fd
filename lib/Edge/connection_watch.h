// Declares connection_watch, which cuts callers' connections that stay longer than allowed in one step.
#pragma once

#include "radishflow/Support/ranked_mutex.h"

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <thread>

namespace radishflow {

/// Has one thread, which sleeps while no connection has a limit. Thread-safe; rank Connections.
class connection_watch {
public:
    enum class cut_kind {
        Reading, ///< Only the receiving side, so that the caller can still be told why.
        Both,
    };

    /// One connection, under watch until it is destroyed. Used by one thread; the watch outlives it.
    class entry {
    public:
        entry(connection_watch&, const Poco::Net::StreamSocket&);
        ~entry();
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;

        /// The connection is cut unless the limit is lifted or renewed within this time.
        void limit(std::chrono::milliseconds, cut_kind);
        void lift();

        /// Whether a limit has passed.
        bool isCut() const;

    private:
        connection_watch& m_watch;
        std::uint64_t m_number = 0;
    };

    connection_watch();
    /// Every entry has to be gone.
    ~connection_watch();
    connection_watch(const connection_watch&) = delete;
    connection_watch& operator=(const connection_watch&) = delete;

    /// Cuts every connection, also those that are added later.
    void cutAll();

private:
    using clock = std::chrono::steady_clock;

    struct record {
        Poco::Net::StreamSocket socket; ///< Keeps the descriptor from being used anew while it is watched.
        clock::time_point deadline = clock::time_point::max();
        cut_kind kind = cut_kind::Both;
        bool isCut = false;
    };

    static void cut(record&, cut_kind);
    void loop();
    void cutExpired();
    void forgetLimit(record&);

    mutable ranked_mutex m_mutex { lock_rank::Connections };
    std::condition_variable_any m_changed;
    std::map<std::uint64_t, record> m_records;
    std::uint64_t m_nextNumber = 1;
    int m_limits = 0; ///< Records with a deadline.
    bool m_isAsleep = false;
    bool m_isStopping = false;
    bool m_isClosed = false;
    std::thread m_thread;
};

} // namespace radishflow
