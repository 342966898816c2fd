// Declares chat_callers, callers that follow the callers' page: they ask for addresses and come back when told to.
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
    int chatsEach = 4; ///< Chats that each caller returns to in turn.
    bool isOneChat = false; ///< All callers take part in one chat.
    std::chrono::milliseconds pause { 20 }; ///< Between an answer and the next turn.
    std::chrono::milliseconds patience { 3000 }; ///< How long a turn is tried before it counts as unanswered.
    std::chrono::milliseconds keep { 1900 }; ///< How long an address is kept.
};

/// Runs from construction until stop(). The answers' content is checked.
class chat_callers {
public:
    chat_callers(const std::vector<std::string>& entries, const chat_caller_options&);
    ~chat_callers() { stop(); }
    chat_callers(const chat_callers&) = delete;
    chat_callers& operator=(const chat_callers&) = delete;

    void stop();

    /// Replaces the addresses at which callers ask where to connect.
    void setEntries(std::vector<std::string> entries);

    const service_by_second& service() const { return m_service; }
    int wrongResponses() const { return m_wrong; }

    /// Up to twenty of the last things that went wrong.
    std::vector<std::string> problems() const;

private:
    std::vector<std::string> askAddresses(int caller) const;
    void run(int caller);
    bool takeTurn(int caller, int turn, std::vector<std::string>& addresses);
    void note(std::string problem);

    chat_caller_options m_options;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_entries;
    std::vector<std::string> m_problems;
    service_by_second m_service;
    std::atomic<bool> m_isDone = false;
    std::atomic<int> m_wrong = 0;
    std::vector<std::thread> m_threads;
};

/// The callers' addresses of all daemons of a fleet.
std::vector<std::string> callerAddressesOf(test_fleet&);

} // namespace radishflow
