// Declares child_process, a program that a test starts and that never outlives the test.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace radishflow {

struct child_options {
    std::string program;
    std::vector<std::string> arguments;
    std::string outputFile; ///< File for stdout; empty for a pipe, which is read up to the listening line.
    std::string errorFile; ///< File for stderr; empty to inherit the test's stderr.
    std::chrono::milliseconds startTimeout { 10000 }; ///< Maximum wait for the listening line.
};

/// Starts a program and reads its "listening ..." line; throws when the process can't be started. Not thread-safe.
///
/// The kernel kills the child when the thread that started it ends, so it has to be started from the test's main thread.
class child_process {
public:
    explicit child_process(const child_options& options);
    /// Kills the child with SIGKILL and reaps it.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Returns the listening line; empty when none was received before the timeout.
    const std::string& listeningLine() const { return m_listeningLine; }

    /// Returns the "host:port" after `name=` in the listening line, or for an empty name the address without a name. Empty when
    /// there is none.
    std::string address(std::string_view name = {}) const;

    pid_t pid() const { return m_pid; }
    void signal(int number);

    /// Returns the status of waitpid(); empty when the child is still running after the timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout);

private:
    void start(const child_options&);
    void readListeningLine(std::chrono::milliseconds timeout);

    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_listeningLine;
    std::optional<int> m_status;
};

} // namespace radishflow
