// Implements the engine's stand-in over HTTP. One thread produces all tokens; each connection waits for
// those of its own generation, so that a slow reader never holds up the batch.
#include "engine_core.h"

#include "radishflow/Emulator/expected_answer.h"

#include "chat_json.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ostream>

namespace radishflow {

using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

static constexpr std::chrono::milliseconds producerStep { 2 };
static constexpr std::chrono::milliseconds idleStep { 20 };
static constexpr std::chrono::milliseconds metricsStep { 50 };
static constexpr std::chrono::milliseconds waitStep { 500 };

engine_core::engine_core(const engine_emulator_options& options)
    : m_options(options)
    , m_batch(options, m_clock.now())
    , m_orders(options.checksFence)
    , m_startTime(unixSeconds())
    , m_eventLag(options.reportLag)
    , m_metrics(metricsText(), options.reportLag, m_clock)
    , m_producer([this] { produceTokens(); })
{
}

engine_core::~engine_core()
{
    stop();
    m_producer.join();
}

void engine_core::stop()
{
    const std::lock_guard lock { m_mutex };
    m_isStopping = true;
    m_wake.notify_all();
}

void engine_core::produceTokens()
{
    time_point metricsDue = m_clock.now();
    std::unique_lock lock { m_mutex };
    while (!m_isStopping) {
        const time_point now = m_clock.now();
        if (!m_isPaused)
            m_batch.advance(now);
        signalChanged();
        if (metricsDue <= now) {
            m_metrics.set(metricsText());
            metricsDue = now + metricsStep;
        }
        m_wake.wait_for(lock, m_batch.running() > 0 ? producerStep : idleStep);
    }
}

// Wakes the connections whose generations moved on. The lock is held.
void engine_core::signalChanged()
{
    if (m_batch.life() != m_lifeSeen) {
        m_lifeSeen = m_batch.life();
        m_startTime = unixSeconds();
        m_metrics.restart(metricsText());
    }
    m_batch.takeChanged([](generation& changed) { changed.changed.notify_all(); });
}

void engine_core::waitWhilePaused()
{
    std::unique_lock lock { m_mutex };
    while (m_isPaused && !m_isStopping)
        m_wake.wait_for(lock, waitStep);
}

void engine_core::serve(HTTPServerRequest& request, HTTPServerResponse& response)
{
    static const std::string requests = "/v1/requests/";
    waitWhilePaused();
    const std::string path = pathOf(request);
    if (path == "/v1/chat/completions")
        chat(request, response);
    else if (path.starts_with(requests) && request.getMethod() == "DELETE")
        cancel(path.substr(requests.size()), response);
    else if (path == "/metrics")
        sendText(response, 200, "text/plain; version=0.0.4", m_metrics.shown());
    else if (path == "/kv/events")
        events(request, response);
    else if (path == "/kv/export")
        exportPrefix(readBody(request), response);
    else if (path == "/kv/import")
        importPrefix(queryValue(request, "prefix"), readBody(request), response);
    else if (path == "/orders")
        order(readBody(request), response);
    else
        sendText(response, 404, "text/plain", "no such path\n");
}

generation_request engine_core::decode(const HTTPServerRequest& request, const std::string& body)
{
    generation_request decoded = decodeChat(body);
    decoded.id = request.get("X-Request-Id", "");
    decoded.urgency = urgencyOf(request.get("Priority", ""));
    decoded.originTerm = std::strtoull(request.get("X-Fencing-Term", "0").c_str(), nullptr, 10);
    decoded.prefix = request.get("X-Chat-Prefix", "");
    return decoded;
}

// Starts a generation or resumes one; the hold is empty when there is none to resume.
engine_core::hold engine_core::take(HTTPServerRequest& request, const std::string& body)
{
    generation_request decoded = decode(request, body);
    const std::string lastEvent = request.get("Last-Event-ID", "");
    const std::lock_guard lock { m_mutex };
    hold taken { .held = {}, .cutAfter = std::exchange(m_cutAfterTokens, 0) };
    if (!lastEvent.empty()) {
        taken.held = m_batch.find(decoded.id);
        taken.sent = std::atoi(lastEvent.c_str());
        taken.attachment = taken.held ? m_batch.attach(*taken.held) : 0;
    } else {
        if (decoded.id.empty())
            decoded.id = "unnamed-" + std::to_string(++m_unnamed);
        decoded.crashesEngine = !m_crashOn.empty() && body.find(m_crashOn) != std::string::npos;
        taken.held = m_batch.admit(std::move(decoded), m_clock.now());
    }
    if (taken.held)
        taken.held->changed.notify_all();
    m_wake.notify_all();
    signalChanged();
    return taken;
}

void engine_core::chat(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const std::string body = readBody(request);
    const hold taken = take(request, body);
    if (!taken.held)
        sendText(response, 404, "text/plain", "no such generation\n");
    else if (asksForStream(body))
        stream(taken, request, response);
    else
        answerWhole(taken, request, response);
    if (taken.held)
        release(taken);
}

void engine_core::release(const hold& left)
{
    const std::lock_guard lock { m_mutex };
    m_batch.detach(*left.held, left.attachment, m_clock.now());
}

// Returns how many tokens there are once there are more than were sent, or -1 when no more will come to this connection.
int engine_core::awaitTokens(const hold& reader)
{
    std::unique_lock lock { m_mutex };
    const generation& held = *reader.held;
    while (held.produced <= reader.sent || m_isPaused) {
        if (m_isStopping || held.isOver() || held.attachment != reader.attachment)
            return -1;
        reader.held->changed.wait_for(lock, waitStep);
    }
    const bool isCut = held.state == generation_state::Lost || held.attachment != reader.attachment || m_isStopping;
    return isCut ? -1 : held.produced;
}

void engine_core::stream(hold reader, HTTPServerRequest& request, HTTPServerResponse& response)
{
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    response.setKeepAlive(false);
    std::ostream& out = response.send();
    out.flush();
    const generation_request& asked = reader.held->request;
    while (out.good() && reader.sent < asked.tokens) {
        const int produced = awaitTokens(reader);
        if (produced < 0)
            break;
        while (reader.sent < produced && (reader.cutAfter == 0 || reader.sent < reader.cutAfter)) {
            ++reader.sent;
            out << "id: " << reader.sent << "\ndata: " << chunkText(asked, reader.sent) << "\n\n";
        }
        out.flush();
        if (reader.cutAfter > 0 && reader.sent >= reader.cutAfter)
            break;
    }
    const bool isCut = reader.cutAfter > 0 && reader.sent >= reader.cutAfter;
    if (!isCut && out.good() && reader.sent >= asked.tokens) {
        out << "data: [DONE]\n\n"
            << std::flush;
        return;
    }
    cutConnection(request);
}

void engine_core::answerWhole(const hold& reader, HTTPServerRequest& request, HTTPServerResponse& response)
{
    bool isWhole = false;
    {
        std::unique_lock lock { m_mutex };
        const generation& held = *reader.held;
        while ((!held.isOver() || m_isPaused) && !m_isStopping && held.attachment == reader.attachment)
            reader.held->changed.wait_for(lock, waitStep);
        isWhole = held.state == generation_state::Done && held.attachment == reader.attachment;
    }
    if (isWhole)
        sendText(response, 200, "application/json", completionText(reader.held->request));
    else
        cutConnection(request);
}

void engine_core::cancel(const std::string& id, HTTPServerResponse& response)
{
    bool isCancelled = false;
    {
        const std::lock_guard lock { m_mutex };
        isCancelled = m_batch.cancel(id);
        signalChanged();
    }
    sendText(response, isCancelled ? 200 : 404, "text/plain", isCancelled ? "cancelled\n" : "no such request\n");
}

void engine_core::events(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const std::uint64_t since = std::strtoull(queryValue(request, "since").c_str(), nullptr, 10);
    std::vector<kv_event> shown;
    {
        const std::lock_guard lock { m_mutex };
        shown = m_batch.cache().events(since, m_clock.now() - m_eventLag);
    }
    sendText(response, 200, "application/json", eventsText(shown, since));
}

void engine_core::exportPrefix(const std::string& body, HTTPServerResponse& response)
{
    const auto prefix = parseObject(body)->getValue<std::string>("prefix");
    bool isHeld = false;
    {
        const std::lock_guard lock { m_mutex };
        isHeld = m_batch.cache().has(prefix);
    }
    sendText(response, isHeld ? 200 : 404, "application/octet-stream", isHeld ? exportedBytes(prefix) : "");
}

void engine_core::importPrefix(const std::string& prefix, const std::string& body, HTTPServerResponse& response)
{
    const bool isValid = !prefix.empty() && body == exportedBytes(prefix);
    if (isValid) {
        const std::lock_guard lock { m_mutex };
        m_batch.cache().store(prefix, m_clock.now());
    }
    sendText(response, isValid ? 200 : 400, "text/plain", isValid ? "ok\n" : "not this prefix\n");
}

void engine_core::order(const std::string& body, HTTPServerResponse& response)
{
    const Object::Ptr asked = parseObject(body);
    engine_order order {
        .order = asked->getValue<std::string>("order"),
        .name = asked->optValue<std::string>("name", ""),
        .fence = asked->optValue<Poco::UInt64>("fence", 0),
    };
    bool isAccepted = false;
    {
        const std::lock_guard lock { m_mutex };
        isAccepted = m_orders.take(std::move(order));
    }
    sendText(response, isAccepted ? 200 : 409, "text/plain", isAccepted ? "ok\n" : "old fencing number\n");
}

void engine_core::setFaults(const Object& faults)
{
    const std::lock_guard lock { m_mutex };
    if (faults.optValue<bool>("cold", false))
        m_batch.turnCold(m_clock.now());
    m_crashOn = faults.optValue<std::string>("crash_on", m_crashOn);
    m_cutAfterTokens = faults.optValue<int>("cut_after_tokens", m_cutAfterTokens);
    m_isPaused = faults.optValue<bool>("pause", m_isPaused);
    if (faults.has("drop_kv_events"))
        m_batch.cache().dropEvents(faults.getValue<int>("drop_kv_events"));
    if (faults.has("report_lag_ms")) {
        m_eventLag = std::chrono::milliseconds { faults.getValue<int>("report_lag_ms") };
        m_metrics.setLag(m_eventLag);
    }
    m_wake.notify_all();
}

std::string engine_core::metricsText() const
{
    std::array<char, 32> start {};
    std::snprintf(start.data(), start.size(), "%.6f", m_startTime);
    std::string text = "engine_requests_running " + std::to_string(m_batch.running())
        + "\nengine_requests_waiting " + std::to_string(m_batch.waiting())
        + "\nengine_slots " + std::to_string(m_options.slots)
        + "\nengine_requests_completed_total " + std::to_string(m_batch.completedInLife())
        + "\nprocess_start_time_seconds " + start.data() + "\n# TYPE engine_requests_running_by_origin gauge\n";
    for (const auto& [term, count] : m_batch.runningByOrigin())
        text += "engine_requests_running_by_origin{origin=\"" + std::to_string(term) + "\"} " + std::to_string(count) + "\n";
    return text;
}

Object::Ptr engine_core::record()
{
    const std::lock_guard lock { m_mutex };
    Object::Ptr record = encodeRecord(m_batch.record());
    record->set("running", m_batch.running());
    record->set("waiting", m_batch.waiting());
    record->set("cold", m_batch.isCold());
    record->set("orders", encodeOrders(m_orders.orders()));
    return record;
}

} // namespace radishflow
