// Declares body_memory, which limits the memory of the message bodies that a daemon holds.
#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

namespace radishflow {

/// Counts the bytes of all bodies that are held at a time. Thread-safe.
class body_memory {
public:
    explicit body_memory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Adds bytes, or returns false if they would exceed the limit.
    bool tryAdd(std::size_t bytes)
    {
        if (m_bytes.fetch_add(bytes) + bytes <= m_maxBytes)
            return true;
        m_bytes -= bytes;
        return false;
    }
    void remove(std::size_t bytes) { m_bytes -= bytes; }
    std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_maxBytes;
    std::atomic<std::size_t> m_bytes = 0;
};

/// The share of one body in a body_memory, which it returns when it is destroyed. Not thread-safe.
class body_reservation {
public:
    body_reservation() = default;
    explicit body_reservation(body_memory& memory)
        : m_memory(&memory)
    {
    }
    ~body_reservation() { release(); }
    body_reservation(body_reservation&& other) noexcept
        : m_memory(std::exchange(other.m_memory, nullptr))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    body_reservation& operator=(body_reservation&& other) noexcept
    {
        release();
        m_memory = std::exchange(other.m_memory, nullptr);
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }

    /// Extends the reservation to a size if it is smaller; returns false if there is no room. One without a memory has no limit.
    bool tryGrow(std::size_t bytes)
    {
        if (!m_memory || bytes <= m_bytes)
            return true;
        if (!m_memory->tryAdd(bytes - m_bytes))
            return false;
        m_bytes = bytes;
        return true;
    }

private:
    void release()
    {
        if (m_memory)
            m_memory->remove(std::exchange(m_bytes, 0));
    }

    body_memory* m_memory = nullptr;
    std::size_t m_bytes = 0;
};

} // namespace radishflow
