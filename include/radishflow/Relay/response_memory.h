// Declares response_memory, which limits the memory of the responses that a daemon holds.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <algorithm>
#include <cstddef>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace radishflow {

/// Counts the bytes of responses by the backend server that sent them. A server may take as much memory as all servers together leave
/// free, so that one that sends without end leaves room for the responses of the others. Thread-safe; uses one lock of rank
/// ResponseMemory.
class response_memory {
public:
    explicit response_memory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Adds bytes to the share of a server, or returns false if there is no room for them.
    bool tryAdd(const server_id& server, std::size_t bytes)
    {
        const std::lock_guard lock { m_mutex };
        const auto found = m_shares.find(server);
        const std::size_t share = found == m_shares.end() ? 0 : found->second;
        if (share + bytes > m_maxBytes - m_bytes)
            return false;
        m_shares[server] = share + bytes;
        m_bytes += bytes;
        return true;
    }

    void remove(const server_id& server, std::size_t bytes)
    {
        const std::lock_guard lock { m_mutex };
        const auto found = m_shares.find(server);
        if (found == m_shares.end())
            return;
        m_bytes -= bytes;
        found->second -= bytes;
        if (found->second == 0)
            m_shares.erase(found);
    }

    std::size_t bytes() const
    {
        const std::lock_guard lock { m_mutex };
        return m_bytes;
    }

private:
    mutable ranked_mutex m_mutex { lock_rank::ResponseMemory };
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0; ///< Of all servers; at most m_maxBytes.
    std::unordered_map<server_id, std::size_t> m_shares; ///< None is zero.
};

/// The share of one response in a response_memory, which it returns when it is destroyed. Not thread-safe.
class response_reservation {
public:
    /// Responses up to this size do not count, so that they are read also if there is no room for larger ones.
    static constexpr std::size_t uncountedBytes = 32768;

    response_reservation(response_memory& memory, server_id server)
        : m_memory(&memory)
        , m_server(std::move(server))
    {
    }
    ~response_reservation() { shrinkTo(0); }
    response_reservation(response_reservation&& other) noexcept
        : m_memory(other.m_memory)
        , m_server(std::move(other.m_server))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    response_reservation& operator=(response_reservation&& other) noexcept
    {
        shrinkTo(0);
        m_memory = other.m_memory;
        m_server = std::move(other.m_server);
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }

    /// Extends the reservation to the size of a buffer if it is smaller; returns false if there is no room.
    bool tryGrow(std::size_t bytes)
    {
        if (bytes <= std::max(m_bytes, uncountedBytes))
            return true;
        if (!m_memory->tryAdd(m_server, bytes - m_bytes))
            return false;
        m_bytes = bytes;
        return true;
    }

    /// Returns what exceeds the size of a buffer.
    void shrinkTo(std::size_t bytes)
    {
        const std::size_t kept = bytes > uncountedBytes ? bytes : 0;
        if (kept < m_bytes)
            m_memory->remove(m_server, m_bytes - kept);
        m_bytes = std::min(m_bytes, kept);
    }

private:
    response_memory* m_memory;
    server_id m_server;
    std::size_t m_bytes = 0;
};

} // namespace radishflow
