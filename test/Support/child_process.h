// Declares child_process, a program that a test runs and that never outlives the test.
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
    std::string outputFile; ///< Where stdout goes; empty for a pipe, which is read up to the listening line.
    std::string errorFile; ///< Where stderr goes; empty for the test's own.
    std::chrono::milliseconds startBound { 10000 }; ///< How long to wait for the listening line.
};

/// Starts a program and reads its "listening ..." line. Not thread-safe.
///
/// The kernel kills the child when the thread that started it ends, so start it from the test's main thread.
class child_process {
public:
    explicit child_process(const child_options& options);
    /// Kills the child with SIGKILL and reaps it.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Returns the line, or an empty text when none came within the bound.
    const std::string& listeningLine() const { return m_line; }

    /// Returns the "host:port" after `name=`, or for an empty name the one without a name.
    std::string address(std::string_view name = {}) const;

    pid_t pid() const { return m_pid; }
    void signal(int number);

    /// Returns the wait status, or nothing when the child still runs at the end of the bound.
    std::optional<int> wait(std::chrono::milliseconds bound);

private:
    void start(const child_options&);
    void readLine(std::chrono::milliseconds bound);

    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_line;
    std::optional<int> m_status;
};

} // namespace radishflow
