// Implements child_process with fork, exec and the parent death signal.
#include "child_process.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace radishflow {

using steady = std::chrono::steady_clock;

child_process::child_process(const child_options& options)
{
    start(options);
    if (options.outputFile.empty())
        readListeningLine(options.startTimeout);
}

child_process::~child_process()
{
    if (!m_status) {
        ::kill(m_pid, SIGKILL);
        int status = 0;
        while (::waitpid(m_pid, &status, 0) < 0 && errno == EINTR) { }
    }
    ::close(m_output);
}

// Calls only async-signal-safe functions, since the forked process may have had several threads.
[[noreturn]] static void execProgram(char* const* arguments, int output, int error, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(126);
    ::dup2(output, STDOUT_FILENO);
    if (error >= 0)
        ::dup2(error, STDERR_FILENO);
    // A connection that the program inherited would stay open after the test has closed it.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments);
    ::_exit(127);
}

void child_process::start(const child_options& options)
{
    std::vector<std::string> texts { options.program };
    texts.insert(texts.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char*> arguments;
    arguments.reserve(texts.size() + 1);
    for (std::string& text : texts)
        arguments.push_back(text.data());
    arguments.push_back(nullptr);

    std::array<int, 2> pipe {};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    int error = -1;
    if (!options.errorFile.empty())
        error = ::open(options.errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    int output = pipe[1];
    if (!options.outputFile.empty())
        output = ::open(options.outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0)
        execProgram(arguments.data(), output, error, parent);
    if (output != pipe[1])
        ::close(output);
    ::close(pipe[1]);
    if (error >= 0)
        ::close(error);
    m_output = pipe[0];
    if (m_pid < 0)
        throw std::runtime_error("fork failed");
}

void child_process::readListeningLine(std::chrono::milliseconds timeout)
{
    const auto deadline = steady::now() + timeout;
    std::string line;
    while (steady::now() < deadline) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - steady::now());
        pollfd descriptor { .fd = m_output, .events = POLLIN, .revents = 0 };
        if (::poll(&descriptor, 1, static_cast<int>(left.count())) <= 0)
            continue;
        char byte = 0;
        if (::read(m_output, &byte, 1) <= 0)
            return;
        if (byte != '\n') {
            line += byte;
            continue;
        }
        if (line.starts_with("listening ")) {
            m_listeningLine = line;
            return;
        }
        line.clear();
    }
}

std::string child_process::address(std::string_view name) const
{
    std::istringstream words { m_listeningLine };
    std::string word;
    words >> word;
    while (words >> word) {
        const auto separator = word.find('=');
        if (separator == std::string::npos && name.empty())
            return word;
        if (separator != std::string::npos && word.substr(0, separator) == name)
            return word.substr(separator + 1);
    }
    return {};
}

void child_process::signal(int number)
{
    if (!m_status)
        ::kill(m_pid, number);
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds pollInterval { 5 };
    const auto deadline = steady::now() + timeout;
    while (!m_status) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_status = status;
            break;
        }
        if (steady::now() >= deadline)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    return m_status;
}

} // namespace radishflow
