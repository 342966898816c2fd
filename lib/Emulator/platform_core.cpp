// Implements the platform's stand-in. A fault acts where the real one would: a lost request before the
// write, a lost reply after it.
#include "platform_core.h"

#include "pausing.h"

#include <sstream>

namespace radishflow {

using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

static constexpr const char* jsonType = "application/json";
static constexpr int oneMegabyte = 1 << 20;

// Counts down to zero and returns whether there was something left.
static bool takeOne(std::atomic<int>& count)
{
    int seen = count;
    while (seen > 0 && !count.compare_exchange_weak(seen, seen - 1)) { }
    return seen > 0;
}

static std::string textOf(const Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

platform_core::platform_core(const platform_emulator_options& options)
    : m_writes(options.writesPerSecond, m_clock)
    , m_reads(options.readsPerSecond, m_clock)
    , m_weights(options.weightsPerSecond, m_clock)
    , m_hosts("[]", options.hostLag, m_clock)
{
}

void platform_core::serve(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const std::string path = pathOf(request);
    if (path == "/control/hosts") {
        m_hosts.set(readBody(request));
        sendText(response, 200, "text/plain", "ok\n");
        return;
    }
    if (m_isHanging) {
        // A request that met the outage is never answered, also when the outage ends before its sender gives up.
        waitForClose(request, [this] { return m_isStopping.load(); });
        cutConnection(request);
        return;
    }
    sleepUnless(std::chrono::milliseconds { m_slowMilliseconds }, [this] { return m_isStopping.load(); });

    if (path == "/v3/kv/range")
        range(request, response);
    else if (path == "/v3/kv/txn")
        transact(request, response);
    else if (path.starts_with("/objects/") && request.getMethod() == "PUT")
        putObject(request, response);
    else if (path.starts_with("/objects/"))
        getObject(request, response);
    else if (path.starts_with("/weights/"))
        getWeights(response);
    else if (path == "/sd/hosts" && admit(call_kind::Read, request, response))
        sendText(response, 200, jsonType, m_hosts.shown());
    else if (path != "/sd/hosts")
        sendText(response, 404, "text/plain", "no such path\n");
}

bool platform_core::admit(call_kind kind, HTTPServerRequest& request, HTTPServerResponse& response)
{
    const bool isWrite = kind == call_kind::Write;
    if ((isWrite ? m_writes : m_reads).take()) {
        ++(isWrite ? m_writeCount : m_readCount);
        return true;
    }
    ++(isWrite ? m_refusedWrites : m_refusedReads);
    readBody(request);
    sendText(response, 429, "text/plain", "over the rate\n");
    return false;
}

bool platform_core::losesRequest(HTTPServerRequest& request)
{
    if (!takeOne(m_requestsToLose))
        return false;
    ++m_lostRequests;
    cutConnection(request);
    return true;
}

void platform_core::finishWrite(HTTPServerRequest& request, HTTPServerResponse& response, int status, const std::string& body)
{
    if (takeOne(m_repliesToLose)) {
        ++m_lostReplies;
        cutConnection(request);
        return;
    }
    sendText(response, status, jsonType, body);
}

void platform_core::range(HTTPServerRequest& request, HTTPServerResponse& response)
{
    if (admit(call_kind::Read, request, response))
        sendJson(response, 200, *m_table.range(*parseObject(readBody(request))));
}

void platform_core::transact(HTTPServerRequest& request, HTTPServerResponse& response)
{
    if (!admit(call_kind::Write, request, response))
        return;
    const Object::Ptr transaction = parseObject(readBody(request));
    if (losesRequest(request))
        return;
    finishWrite(request, response, 200, textOf(*m_table.transact(*transaction)));
}

void platform_core::putObject(HTTPServerRequest& request, HTTPServerResponse& response)
{
    if (!admit(call_kind::Write, request, response))
        return;
    const std::string body = readBody(request);
    if (losesRequest(request))
        return;
    bool isStored = true;
    {
        const std::lock_guard lock { m_objectsMutex };
        if (request.get("If-None-Match", "") == "*")
            isStored = m_objects.emplace(pathOf(request), body).second;
        else
            m_objects[pathOf(request)] = body;
    }
    finishWrite(request, response, isStored ? 200 : 412, "");
}

void platform_core::getObject(HTTPServerRequest& request, HTTPServerResponse& response)
{
    if (!admit(call_kind::Read, request, response))
        return;
    std::string body;
    bool isFound = false;
    {
        const std::lock_guard lock { m_objectsMutex };
        if (const auto found = m_objects.find(pathOf(request)); found != m_objects.end()) {
            body = found->second;
            isFound = true;
        }
    }
    sendText(response, isFound ? 200 : 404, "application/octet-stream", body);
}

void platform_core::getWeights(HTTPServerResponse& response)
{
    if (!m_weights.take()) {
        ++m_refusedWeights;
        response.set("Retry-After", "1");
        sendText(response, 429, "text/plain", "over the rate\n");
        return;
    }
    ++m_weightCount;
    sendText(response, 200, "application/octet-stream", std::string(oneMegabyte, 'w'));
}

bool platform_core::asksToRefuse(const Object& faults)
{
    return faults.optValue<std::string>("down", "") == "refuse";
}

static read_age readAgeOf(const std::string& text)
{
    if (text == "alternate")
        return read_age::Alternate;
    return text == "true" ? read_age::Stale : read_age::Newest;
}

void platform_core::setFaults(const Object& faults)
{
    if (faults.has("down")) {
        const auto down = faults.getValue<std::string>("down");
        m_isHanging = down == "true" || down == "hang";
        m_isRefusing = down == "refuse";
    }
    m_slowMilliseconds = faults.optValue<int>("slow_ms", m_slowMilliseconds);
    m_repliesToLose = faults.optValue<int>("lose_replies", m_repliesToLose);
    m_requestsToLose = faults.optValue<int>("lose_requests", m_requestsToLose);
    if (faults.has("host_lag_ms"))
        m_hosts.setLag(std::chrono::milliseconds { faults.getValue<int>("host_lag_ms") });
    if (faults.has("stale_reads"))
        m_table.setReadAge(readAgeOf(faults.getValue<std::string>("stale_reads")));
}

Object::Ptr platform_core::record()
{
    Object::Ptr record = new Object;
    record->set("revision", m_table.revision());
    record->set("writes", m_writeCount.load());
    record->set("reads", m_readCount.load());
    record->set("refused_writes", m_refusedWrites.load());
    record->set("refused_reads", m_refusedReads.load());
    record->set("weights", m_weightCount.load());
    record->set("refused_weights", m_refusedWeights.load());
    record->set("lost_replies", m_lostReplies.load());
    record->set("lost_requests", m_lostRequests.load());
    return record;
}

void platform_core::stop()
{
    m_isStopping = true;
}

} // namespace radishflow
