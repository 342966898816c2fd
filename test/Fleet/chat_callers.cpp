// Implements the callers of whole-program tests.
#include "chat_callers.h"

#include "radishflow/Emulator/expected_answer.h"

#include <utility>

namespace radishflow {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

chat_callers::chat_callers(const std::vector<std::string>& entries, const chat_caller_options& options)
    : m_options(options)
    , m_entries(entries)
{
    for (int caller = 0; caller < options.callers; ++caller)
        m_threads.emplace_back([this, caller] { run(caller); });
}

void chat_callers::stop()
{
    m_isDone = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void chat_callers::setEntries(std::vector<std::string> entries)
{
    const std::lock_guard lock { m_mutex };
    m_entries = std::move(entries);
}

std::vector<std::string> chat_callers::problems() const
{
    const std::lock_guard lock { m_mutex };
    return m_problems;
}

void chat_callers::note(std::string problem)
{
    constexpr std::size_t mostProblems = 20;
    const std::lock_guard lock { m_mutex };
    if (m_problems.size() < mostProblems)
        m_problems.push_back(std::move(problem));
}

std::vector<std::string> chat_callers::askAddresses(int caller) const
{
    std::vector<std::string> entries;
    {
        const std::lock_guard lock { m_mutex };
        entries = m_entries;
    }
    for (std::size_t attempt = 0; attempt < entries.size(); ++attempt) {
        const std::string& entry = entries[(static_cast<std::size_t>(caller) + attempt) % entries.size()];
        const http_call_reply reply = httpCall({ .url = "http://" + entry + "/v1/addresses", .timeout = milliseconds { 500 } });
        std::vector<std::string> addresses;
        for (std::size_t place = reply.body.find("\"address\""); reply.status == 200 && place != std::string::npos; place = reply.body.find("\"address\"", place + 1)) {
            const std::size_t begin = reply.body.find('"', reply.body.find(':', place)) + 1;
            addresses.push_back(reply.body.substr(begin, reply.body.find('"', begin) - begin));
        }
        if (!addresses.empty())
            return addresses;
    }
    return {};
}

// A turn goes to the first address; one that can't be reached is followed by the next, as the page says, and a
// refusal with Retry-After by another try, as long as the caller has patience.
bool chat_callers::takeTurn(int caller, int turn, std::vector<std::string>& addresses)
{
    const std::string chat = m_options.isOneChat ? "one" : std::to_string(caller) + "-" + std::to_string(turn % m_options.chatsEach);
    const std::string prompt = "turn " + std::to_string(caller) + "/" + std::to_string(turn);
    const auto deadline = steady_clock::now() + m_options.patience;
    std::string problem = "no address";
    while (steady_clock::now() < deadline && !m_isDone) {
        if (addresses.empty())
            addresses = askAddresses(caller);
        if (addresses.empty()) {
            std::this_thread::sleep_for(milliseconds { 50 });
            continue;
        }
        const http_call_reply reply = httpCall({ .method = "POST", .url = "http://" + addresses.front() + "/v1/chat/completions", .headers = { { "X-Workspace", "desk" }, { "X-Chat", chat } }, .body = chatBody(prompt, m_options.tokens, false), .timeout = milliseconds { 2000 } });
        if (reply.status == 200) {
            const bool isRight = contentOf(reply.body) == expectedAnswer("hydro-large", prompt, m_options.tokens);
            m_wrong += isRight ? 0 : 1;
            return isRight;
        }
        problem = addresses.front() + " " + std::to_string(reply.status) + " " + reply.error + reply.body.substr(0, 300);
        if (reply.status == 0)
            addresses.erase(addresses.begin());
        else
            std::this_thread::sleep_for(milliseconds { 100 });
    }
    if (!m_isDone)
        note(problem);
    return m_isDone;
}

void chat_callers::run(int caller)
{
    std::vector<std::string> addresses;
    auto askedAt = steady_clock::time_point {};
    for (int turn = 0; !m_isDone; ++turn) {
        if (steady_clock::now() - askedAt > m_options.keep) {
            addresses = askAddresses(caller);
            askedAt = steady_clock::now();
        }
        const auto sentAt = steady_clock::now();
        m_service.note(sentAt, takeTurn(caller, turn, addresses));
        std::this_thread::sleep_for(m_options.pause);
    }
}

std::vector<std::string> callerAddressesOf(test_fleet& fleet)
{
    std::vector<std::string> entries;
    for (const fleet_member& daemon : fleet.daemons())
        entries.push_back(daemon.http);
    return entries;
}

} // namespace radishflow
