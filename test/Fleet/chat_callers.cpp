// Implements chat_callers, the chat clients of whole-program tests.
#include "chat_callers.h"

#include "radishflow/Emulator/expected_answer.h"

#include <utility>

namespace radishflow {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

chat_callers::chat_callers(const std::vector<std::string>& lookupAddresses, const chat_caller_options& options)
    : m_options(options)
    , m_lookupAddresses(lookupAddresses)
{
    for (int caller = 0; caller < options.callers; ++caller)
        m_threads.emplace_back([this, caller] { run(caller); });
}

void chat_callers::stop()
{
    m_isStopping = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void chat_callers::setLookupAddresses(std::vector<std::string> addresses)
{
    const std::lock_guard lock { m_mutex };
    m_lookupAddresses = std::move(addresses);
}

std::vector<std::string> chat_callers::problems() const
{
    const std::lock_guard lock { m_mutex };
    return m_problems;
}

void chat_callers::recordProblem(std::string problem)
{
    constexpr std::size_t maxProblems = 20;
    const std::lock_guard lock { m_mutex };
    if (m_problems.size() < maxProblems)
        m_problems.push_back(std::move(problem));
}

std::vector<std::string> chat_callers::lookUpAddresses(int caller) const
{
    std::vector<std::string> lookupAddresses;
    {
        const std::lock_guard lock { m_mutex };
        lookupAddresses = m_lookupAddresses;
    }
    for (std::size_t attempt = 0; attempt < lookupAddresses.size(); ++attempt) {
        const std::string& lookupAddress = lookupAddresses[(static_cast<std::size_t>(caller) + attempt) % lookupAddresses.size()];
        const http_call_reply reply = httpCall({ .url = "http://" + lookupAddress + "/v1/addresses", .timeout = milliseconds { 500 } });
        std::vector<std::string> addresses;
        for (std::size_t position = reply.body.find("\"address\""); reply.status == 200 && position != std::string::npos; position = reply.body.find("\"address\"", position + 1)) {
            const std::size_t begin = reply.body.find('"', reply.body.find(':', position)) + 1;
            addresses.push_back(reply.body.substr(begin, reply.body.find('"', begin) - begin));
        }
        if (!addresses.empty())
            return addresses;
    }
    return {};
}

// Sends the turn to the first address. As the documentation for callers requires, an unreachable address is replaced by the next
// one, and a refused turn is sent again after a pause. Returns true for an expected response, or when the callers are stopping.
bool chat_callers::runTurn(int caller, int turn, std::vector<std::string>& addresses)
{
    const std::string chat = m_options.isOneChat ? "one" : std::to_string(caller) + "-" + std::to_string(turn % m_options.chatsPerCaller);
    const std::string prompt = "turn " + std::to_string(caller) + "/" + std::to_string(turn);
    const auto deadline = steady_clock::now() + m_options.turnTimeout;
    std::string problem = "no daemon returned an address";
    while (steady_clock::now() < deadline && !m_isStopping) {
        if (addresses.empty())
            addresses = lookUpAddresses(caller);
        if (addresses.empty()) {
            std::this_thread::sleep_for(milliseconds { 50 });
            continue;
        }
        const http_call_reply reply = httpCall({ .method = "POST", .url = "http://" + addresses.front() + "/v1/chat/completions", .headers = { { "X-Workspace", "desk" }, { "X-Chat", chat } }, .body = chatBody(prompt, m_options.tokens, false), .timeout = milliseconds { 2000 } });
        if (reply.status == 200) {
            const bool isExpected = contentOf(reply.body) == expectedAnswer("hydro-large", prompt, m_options.tokens);
            m_wrongResponses += isExpected ? 0 : 1;
            return isExpected;
        }
        problem = addresses.front() + " " + std::to_string(reply.status) + " " + reply.error + reply.body.substr(0, 300);
        if (reply.status == 0)
            addresses.erase(addresses.begin());
        else
            std::this_thread::sleep_for(milliseconds { 100 });
    }
    if (!m_isStopping)
        recordProblem(problem);
    return m_isStopping;
}

void chat_callers::run(int caller)
{
    std::vector<std::string> addresses;
    auto lastLookup = steady_clock::time_point {};
    for (int turn = 0; !m_isStopping; ++turn) {
        if (steady_clock::now() - lastLookup > m_options.addressReuseTime) {
            addresses = lookUpAddresses(caller);
            lastLookup = steady_clock::now();
        }
        const auto sentAt = steady_clock::now();
        m_service.record(sentAt, runTurn(caller, turn, addresses));
        std::this_thread::sleep_for(m_options.pause);
    }
}

std::vector<std::string> callerAddressesOf(test_fleet& fleet)
{
    std::vector<std::string> addresses;
    for (const fleet_member& daemon : fleet.daemons())
        addresses.push_back(daemon.http);
    return addresses;
}

} // namespace radishflow
