// Declares backend_client_options, the bounds towards backend servers.
#pragma once

#include <chrono>
#include <cstddef>

namespace radishflow {

struct backend_client_options {
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds copyTimeout { 250 }; ///< Of each half of a cache copy; a longer one saves less than the prefill costs.
    std::chrono::milliseconds silenceLimit { 20000 }; ///< Longest silence of a server within an answer.
    std::chrono::milliseconds slowReaderLimit { 10000 }; ///< Longest wait for a caller that does not read.
    std::size_t plainAnswerLimitBytes = 8 << 20;
    int resumes = 2; ///< Times that a cut stream is resumed at its offset.
};

} // namespace radishflow
