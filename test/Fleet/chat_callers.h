// Declares chat_callers, chat clients that look up daemon addresses and retry as the documentation for callers requires.
#pragma once

#include "service_by_second.h"
#include "test_fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace radishflow {

struct chat_caller_options {
    int callers = 8;
    int tokens = 8;
    int chatsPerCaller = 4; ///< Chats among which each caller cycles.
    bool isOneChat = false; ///< All callers take part in one chat.
    std::chrono::milliseconds pause { 20 }; ///< Between the end of a turn and the next one.
    std::chrono::milliseconds turnTimeout { 3000 }; ///< Time during which a turn is retried before it counts as failed.
    std::chrono::milliseconds addressReuseTime { 1900 }; ///< Time for which looked-up addresses are reused.
};

/// Sends chat turns from several threads, from construction until stop(), and checks the content of each response. stop() is
/// called by one thread; all else is thread-safe.
class chat_callers {
public:
    chat_callers(const std::vector<std::string>& lookupAddresses, const chat_caller_options&);
    ~chat_callers() { stop(); }
    chat_callers(const chat_callers&) = delete;
    chat_callers& operator=(const chat_callers&) = delete;

    void stop();

    /// Replaces the daemons at which the callers look up addresses.
    void setLookupAddresses(std::vector<std::string> addresses);

    const service_by_second& service() const { return m_service; }
    int wrongResponses() const { return m_wrongResponses; }

    /// Returns the first 20 failures of turns at most.
    std::vector<std::string> problems() const;

private:
    std::vector<std::string> lookUpAddresses(int caller) const;
    void run(int caller);
    bool runTurn(int caller, int turn, std::vector<std::string>& addresses);
    void recordProblem(std::string problem);

    chat_caller_options m_options;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lookupAddresses;
    std::vector<std::string> m_problems;
    service_by_second m_service;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_wrongResponses = 0;
    std::vector<std::thread> m_threads;
};

/// Returns the addresses at which the daemons of a fleet accept callers.
std::vector<std::string> callerAddressesOf(test_fleet&);

} // namespace radishflow
