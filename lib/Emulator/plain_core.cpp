// Implements the plain service's stand-in. An execution counts from its begin: work that a crash or a lost
// reply hides from the caller has still been done.
#include "plain_core.h"

#include "pausing.h"

#include <algorithm>

namespace radishflow {

using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

plain_core::plain_core(const plain_emulator_options& options)
    : m_slow(options.slow)
    , m_limit(options.limit)
    , m_startTime(unixSeconds())
{
}

void plain_core::serve(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const std::string path = pathOf(request);
    if (path == "/metrics") {
        const std::lock_guard lock { m_mutex };
        sendText(response, 200, "text/plain; version=0.0.4", "process_start_time_seconds " + std::to_string(m_startTime) + "\n");
        return;
    }
    const std::string body = readBody(request);
    const std::string key = request.get("Idempotency-Key", request.get("X-Request-Id", ""));
    const execution begun = begin(key, body, std::strtoull(request.get("X-Fencing-Term", "0").c_str(), nullptr, 10));
    std::chrono::milliseconds slow {};
    {
        const std::lock_guard lock { m_mutex };
        slow = m_slow;
    }
    sleepUnless(slow, [&] { return isOver(begun.life); });
    if (!finish(begun.life)) {
        cutConnection(request);
        return;
    }
    Object answer;
    answer.set("key", key);
    answer.set("path", path);
    answer.set("execution", begun.number);
    answer.set("echo", body);
    sendJson(response, 200, answer);
}

plain_core::execution plain_core::begin(const std::string& key, const std::string& body, std::uint64_t term)
{
    const std::lock_guard lock { m_mutex };
    const execution begun { .number = ++m_executions[key], .life = m_life };
    m_lowerTerms += term < m_highestTerm ? 1 : 0;
    m_highestTerm = std::max(m_highestTerm, term);
    m_maxRunning = std::max(m_maxRunning, ++m_running);
    m_overloads += m_limit > 0 && m_running > m_limit ? 1 : 0;
    if (!m_crashOn.empty() && body.find(m_crashOn) != std::string::npos) {
        ++m_crashes;
        ++m_life;
        m_startTime = unixSeconds();
        m_running = 0;
    }
    return begun;
}

bool plain_core::isOver(std::int64_t life)
{
    const std::lock_guard lock { m_mutex };
    return m_isStopping || life != m_life;
}

bool plain_core::finish(std::int64_t life)
{
    const std::lock_guard lock { m_mutex };
    if (life != m_life)
        return false;
    --m_running;
    if (m_isStopping)
        return false;
    if (m_repliesToLose == 0)
        return true;
    --m_repliesToLose;
    ++m_lostReplies;
    return false;
}

bool plain_core::asksToRefuse(const Object& faults)
{
    return faults.optValue<bool>("refuse", false);
}

bool plain_core::isRefusing()
{
    const std::lock_guard lock { m_mutex };
    return m_isRefusing;
}

void plain_core::setFaults(const Object& faults)
{
    const std::lock_guard lock { m_mutex };
    m_isRefusing = faults.optValue<bool>("refuse", m_isRefusing);
    m_slow = std::chrono::milliseconds { faults.optValue<int>("slow_ms", static_cast<int>(m_slow.count())) };
    m_crashOn = faults.optValue<std::string>("crash_on", m_crashOn);
    m_repliesToLose = faults.optValue<int>("lose_replies", m_repliesToLose);
}

Object::Ptr plain_core::record()
{
    const std::lock_guard lock { m_mutex };
    Object::Ptr executions = new Object;
    for (const auto& [key, count] : m_executions)
        executions->set(key, count);
    Object::Ptr record = new Object;
    record->set("executions", executions);
    record->set("running", m_running);
    record->set("max_running", m_maxRunning);
    record->set("overloads", m_overloads);
    record->set("crashes", m_crashes);
    record->set("lost_replies", m_lostReplies);
    record->set("highest_term", m_highestTerm);
    record->set("lower_terms", m_lowerTerms);
    return record;
}

void plain_core::stop()
{
    const std::lock_guard lock { m_mutex };
    m_isStopping = true;
}

} // namespace radishflow
