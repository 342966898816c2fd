// Declares answer_buffer, which carries one answer from the backend's reader to the caller's writer.
#pragma once

#include "radishflow/Requests/answer_part.h"
#include "radishflow/Support/ranked_mutex.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishflow {

/// A bounded buffer between one writer and one reader. Thread-safe; rank OneStream.
class answer_buffer {
public:
    explicit answer_buffer(std::size_t capacityBytes)
        : m_capacity(capacityBytes)
    {
    }

    /// States the answer's head; called once, before append.
    void begin(int status, std::string contentType);

    /// Adds bytes and waits while the buffer is full. Returns false when the reader has gone or the
    /// wait took longer than the bound.
    bool append(std::string_view bytes, std::chrono::milliseconds bound);

    /// Marks the answer as whole.
    void finish();

    /// Marks the answer as ended short, or as refused when nothing was begun.
    void breakOff(refusal reason);

    /// Tells the writer that nobody reads any more.
    void abandon();

    /// Tells the writer that a later attempt goes on with the same request, which must not be cancelled.
    void supersede();

    bool isAbandoned() const;
    bool isSuperseded() const;

    /// True once nothing more will be written.
    bool hasEnded() const;

    /// True once the end was read, so that nobody waits for the rest.
    bool hasBeenDelivered() const;

    /// Waits up to the bound for bytes at the offset and returns at most `most` of them; frees what
    /// stands before the offset. An offset that was freed already gives a broken part.
    answer_part read(std::uint64_t offset, std::chrono::milliseconds bound, std::size_t most);

private:
    bool hasNewsAt(std::uint64_t offset) const;

    mutable ranked_mutex m_mutex { lock_rank::OneStream };
    std::condition_variable_any m_changed;
    std::size_t m_capacity;
    std::string m_bytes;
    std::uint64_t m_firstOffset = 0;
    int m_status = 0;
    std::string m_contentType;
    bool m_finished = false;
    bool m_broken = false;
    bool m_abandoned = false;
    bool m_superseded = false;
    bool m_delivered = false;
    refusal m_reason;
};

} // namespace radishflow
