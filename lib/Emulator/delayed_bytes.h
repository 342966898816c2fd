// Declares delayed_bytes, one direction of a connection on its way through the fault proxy.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace radishflow {

/// Holds bytes until they are due and hands them out at a rate. Not thread-safe; reads no clock.
class delayed_bytes {
public:
    void push(std::string_view bytes, time_point dueAt);

    /// Notes that no more bytes come after the present ones.
    void end(time_point dueAt);

    /// Returns the bytes at the front that may go now; a rate of 0 is no limit.
    std::string_view ready(time_point now, std::int64_t bytesPerSecond);

    /// Takes so many of the bytes that are ready.
    void consume(std::size_t count);

    /// Returns whether all bytes are out and the end is due.
    bool isFinished(time_point now) const { return m_hasEnd && m_parts.empty() && m_endAt <= now; }

    bool isEnded() const { return m_hasEnd; }
    bool isEmpty() const { return m_parts.empty(); }
    std::size_t size() const { return m_size; }

private:
    struct part {
        std::string bytes;
        time_point dueAt;
    };

    void refill(time_point now, std::int64_t bytesPerSecond);

    std::deque<part> m_parts;
    std::size_t m_size = 0;
    bool m_hasEnd = false;
    time_point m_endAt {};
    double m_allowance = 0; ///< Bytes that the rate lets go now.
    time_point m_refilledAt {};
};

} // namespace radishflow
