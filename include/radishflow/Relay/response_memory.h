// Declares response_memory, which limits the memory of the response bodies that a daemon holds.
#pragma once

#include <atomic>
#include <cstddef>

namespace radishflow {

/// Counts the bytes of all bodies that are buffered at a time, which servers may send without end. Thread-safe.
class response_memory {
public:
    static constexpr std::size_t maxBytes = 64U << 20U;

    /// Adds bytes, or returns false if they would exceed the limit.
    bool tryAdd(std::size_t bytes)
    {
        if (m_bytes.fetch_add(bytes) + bytes <= maxBytes)
            return true;
        m_bytes -= bytes;
        return false;
    }
    void remove(std::size_t bytes) { m_bytes -= bytes; }

private:
    std::atomic<std::size_t> m_bytes = 0;
};

} // namespace radishflow
