// Stand-in of a backend server, which behaves as the platform's pages say.
#pragma once

#include "harness.h"

#include <algorithm>
#include <deque>

namespace review {

struct worker_options {
    std::string id;
    std::string service = "llm";
    std::string zone = "za";
    std::string version = "v1";
    int slots = 64;
    int queue = 192; ///< Requests that wait beside those in slots.
    milliseconds work { 60 }; ///< Of a request that is not a stream.
    int events = 40; ///< Of a stream.
    milliseconds eventGap { 200 };
};

struct arrival {
    std::int64_t at = 0;
    std::string request;
    std::string path;
    std::string result; ///< What became of it.
    int daemon = 0; ///< That sent it, if each daemon has a path of its own.
    bool isCold = false;
};

class worker {
public:
    worker(recorder& record, worker_options options, const std::vector<endpoint>& addresses)
        : m_record(record)
        , m_options(std::move(options))
    {
        for (std::size_t daemon = 0; daemon < addresses.size(); ++daemon)
            m_listeners.push_back(std::make_unique<listener>(addresses[daemon], [this, daemon](int descriptor) { serve(static_cast<int>(daemon), descriptor); }));
    }
    ~worker()
    {
        m_isStopping = true;
        if (m_crash.joinable())
            m_crash.join();
        m_listeners.clear();
    }

    const std::string& id() const { return m_options.id; }
    std::string address(int daemon = 0) const { return m_listeners[static_cast<std::size_t>(daemon) < m_listeners.size() ? static_cast<std::size_t>(daemon) : 0]->address().text(); }
    listener& pathOf(int daemon) { return *m_listeners.at(static_cast<std::size_t>(daemon)); }

    std::string entry(const std::string& state = "ready") const
    {
        const auto coldLeft = std::max<std::int64_t>(m_coldUntil - m_record.since(), 0);
        return R"({"service":")" + m_options.service + R"(","addr":")" + address() + R"(","zone":")" + m_options.zone + R"(","version":")" + m_options.version + R"(","slots":)" + std::to_string(m_options.slots) + R"(,"state":")" + state + R"(","cold_left_ms":)" + std::to_string(coldLeft) + R"(,"seq":)" + std::to_string(++m_sequence) + R"(,"born":)" + std::to_string(m_born.load()) + '}';
    }

    void setCold(milliseconds length) { m_coldUntil = m_record.since() + length.count(); }
    bool isCold() const { return m_record.since() < m_coldUntil; }

    /// From now on all answers name this limit of rejections a second, beyond which the server falls over, and fewer requests may wait.
    void setBrittle(int limit, int queue, std::function<void()> onBack)
    {
        const std::lock_guard lock { m_mutex };
        m_brittle = limit;
        m_options.queue = queue;
        m_onBack = std::move(onBack);
    }
    int falls() const { return m_falls; }

    /// From now on a request to this path crashes the server as it begins to run; the server is back after some time.
    void setCrashing(const std::string& path, std::function<void()> onBack)
    {
        const std::lock_guard lock { m_mutex };
        m_crashingPath = path;
        m_onBack = std::move(onBack);
    }

    std::vector<arrival> arrivals() const
    {
        const std::lock_guard lock { m_mutex };
        return m_arrivals;
    }

    /// Ends all connections and refuses new ones; start() is a new process.
    void stop()
    {
        for (const auto& path : m_listeners)
            path->close();
    }
    void start(const std::string& version = {})
    {
        m_born += 1000;
        if (!version.empty())
            m_options.version = version;
        for (const auto& path : m_listeners)
            path->open();
    }

private:
    std::string commonFields(const message& request) const
    {
        std::string fields = "X-Instance: " + m_options.id + "\r\n";
        if (const std::string id = request.field("X-Request-Id"); !id.empty())
            fields += "X-Request-Id: " + id + "\r\n";
        if (m_brittle > 0)
            fields += "Server-Brittle: " + std::to_string(m_brittle) + "\r\n";
        return fields;
    }

    std::size_t note(int daemon, const message& request)
    {
        const std::lock_guard lock { m_mutex };
        m_arrivals.push_back({ .at = m_record.since(), .request = request.field("X-Request-Id"), .path = request.path(), .result = "waiting", .daemon = daemon, .isCold = isCold() });
        return m_arrivals.size() - 1;
    }

    void finish(std::size_t number, const std::string& result)
    {
        const std::lock_guard lock { m_mutex };
        m_arrivals[number].result = result;
        m_record.write("server " + m_options.id + " request " + m_arrivals[number].request + " " + m_arrivals[number].path + " arrived at " + std::to_string(m_arrivals[number].at) + (m_arrivals[number].isCold ? " (cold)" : "") + ": " + result);
    }

    // Returns false if there is no room, or the caller has left.
    bool enterSlot(connection& peer, bool& hasLeft)
    {
        std::unique_lock lock { m_mutex };
        if (m_running < m_options.slots) {
            ++m_running;
            return true;
        }
        if (m_waiting >= m_options.queue)
            return false;
        ++m_waiting;
        while (m_running >= m_options.slots && !hasLeft) {
            m_freed.wait_for(lock, milliseconds { 5 });
            hasLeft = peer.hasPeerLeft() || m_isStopping;
        }
        --m_waiting;
        if (!hasLeft)
            ++m_running;
        return !hasLeft;
    }

    void leaveSlot()
    {
        const std::lock_guard lock { m_mutex };
        --m_running;
        m_freed.notify_one();
    }

    bool pause(connection& peer, milliseconds length) const
    {
        const auto end = steady::now() + length;
        while (steady::now() < end) {
            if (peer.hasPeerLeft() || m_isStopping)
                return false;
            std::this_thread::sleep_for(std::min(milliseconds { 5 }, std::chrono::ceil<milliseconds>(end - steady::now())));
        }
        return true;
    }

    void reject(std::size_t number)
    {
        finish(number, "not run: no room");
        bool falls = false;
        {
            const std::lock_guard lock { m_mutex };
            const auto now = m_record.since();
            m_rejections.push_back(now);
            while (m_rejections.front() <= now - 1000)
                m_rejections.pop_front();
            falls = m_brittle > 0 && !m_isDown && m_rejections.size() > static_cast<std::size_t>(m_brittle);
            m_isDown = m_isDown || falls;
        }
        if (!falls)
            return;
        m_record.say("server " + m_options.id + " fell over: it turned away " + std::to_string(m_rejections.size()) + " requests within a second, and had said Server-Brittle: " + std::to_string(m_brittle));
        crash();
    }

    void crash()
    {
        ++m_falls;
        if (m_crash.joinable())
            m_crash.join();
        // The connections of a process that ends don't break before its port refuses new ones.
        for (const auto& path : m_listeners)
            path->refuse();
        m_crash = std::thread { [this] {
            stop();
            for (int step = 0; step < 60 && !m_isStopping; ++step)
                std::this_thread::sleep_for(milliseconds { 50 });
            const std::lock_guard lock { m_mutex };
            m_rejections.clear();
            m_isDown = false;
            start();
            m_onBack();
        } };
    }

    bool isCrashing(const std::string& path)
    {
        const std::lock_guard lock { m_mutex };
        const bool crashes = !m_crashingPath.empty() && path == m_crashingPath && !m_isDown;
        m_isDown = m_isDown || crashes;
        return crashes;
    }

    // Returns whether the connection may be used again.
    bool handle(int daemon, connection& peer, const message& request)
    {
        if (request.path() == "/report")
            return peer.send(writeResponse(200, "Content-Type: application/json\r\n", R"({"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"born":)" + std::to_string(m_born.load()) + '}'));
        const std::string expected = request.field("X-Expect-Instance");
        const std::string fields = commonFields(request);
        if (!expected.empty() && expected != m_options.id)
            return peer.send(writeResponse(421, fields + "X-Not-Run: 1\r\n", {}));
        const std::size_t number = note(daemon, request);
        bool hasLeft = false;
        if (!enterSlot(peer, hasLeft)) {
            if (hasLeft) {
                finish(number, "dropped: its channel was closed while it waited");
                return false;
            }
            reject(number);
            return peer.send(writeResponse(503, fields + "X-Not-Run: 1\r\n", {}));
        }
        if (isCrashing(request.path())) {
            leaveSlot();
            finish(number, "run, the server crashed");
            crash();
            return false;
        }
        const bool isStream = request.path().starts_with("/stream/");
        const bool isServed = isStream ? sendEvents(peer, request, fields) : pause(peer, m_options.work) && peer.send(writeResponse(200, fields + "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "answer of " + request.field("X-Request-Id")));
        leaveSlot();
        finish(number, isServed ? "run, answered" : "run, its channel broke");
        return isServed;
    }

    bool sendEvents(connection& peer, const message& request, const std::string& fields) const
    {
        if (!peer.send("HTTP/1.1 200 OK\r\n" + fields + "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int event = std::atoi(request.field("Last-Event-Id").c_str()) + 1; event <= m_options.events; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + m_options.version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!peer.send(size + text + "\r\n") || !pause(peer, m_options.eventGap))
                return false;
        }
        return peer.send("0\r\n\r\n");
    }

    void serve(int daemon, int descriptor)
    {
        connection peer { descriptor };
        message request;
        while (peer.readHead(request, steady::now() + std::chrono::seconds { 30 }) && peer.readBody(request, steady::now() + std::chrono::seconds { 10 })) {
            if (!handle(daemon, peer, request))
                return;
        }
    }

    recorder& m_record;
    worker_options m_options;
    mutable std::atomic<int> m_sequence = 0;
    std::atomic<std::int64_t> m_born { 1767225600000 };
    std::atomic<std::int64_t> m_coldUntil = 0;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_brittle = 0;
    std::atomic<int> m_falls = 0;
    mutable std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    bool m_isDown = false;
    std::string m_crashingPath;
    std::deque<std::int64_t> m_rejections;
    std::vector<arrival> m_arrivals;
    std::function<void()> m_onBack;
    std::thread m_crash;
    std::vector<std::unique_ptr<listener>> m_listeners;
};

/// Returns the operator's configuration with the routes "/read/" (safe), "/order/" (unsafe), "/stream/" (a stream that may be resumed),
/// and further safe routes.
inline std::string writeConfig(int version, double coldPerSecond, const std::vector<std::string>& furtherRoutes = {})
{
    const auto route = [](const std::string& name, const std::string& kind, const std::string& more) {
        return R"({"name":")" + name + R"(","host":"chat.example","prefix":"/)" + name + R"(/","kind":")" + kind + R"(","priority":1,"service":"llm","public":false,)" + more + '}';
    };
    std::string routes = route("read", "safe", R"("timeout_ms":2000,"goal_ms":300,"attempts":2)");
    routes += ',' + route("order", "unsafe", R"("timeout_ms":2000,"goal_ms":300,"attempts":1)");
    routes += ',' + route("stream", "stream", R"("timeout_ms":12000,"goal_ms":600,"attempts":2,"sticky":true,"resumable":true,"gap_goal_ms":600)");
    for (const std::string& name : furtherRoutes)
        routes += ',' + route(name, "safe", R"("timeout_ms":2000,"goal_ms":300,"attempts":2)");
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[{"name":"llm","health_path":"/healthz","max_conns":360,"proto":"h1","tls":false,"cold_s":3.0,"cold_per_s":)" + std::to_string(coldPerSecond) + R"(}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"w","api_keys":["key-of-w"],"priority":1}]})";
}

/// Writes the entries of the servers again and again, as servers do.
class heartbeat {
public:
    heartbeat(store& platform, const std::vector<std::unique_ptr<worker>>& workers)
        : m_thread([this, &platform, &workers] {
            int step = 0;
            while (!m_isStopping) {
                std::this_thread::sleep_for(milliseconds { 50 });
                if (++step % 24 != 0)
                    continue;
                const std::lock_guard lock { m_mutex };
                std::map<std::string, std::string> entries;
                for (const auto& server : workers) {
                    if (!m_silent.contains(server->id()))
                        entries[server->id()] = server->entry();
                }
                platform.put("servers", entries);
            }
        })
    {
    }
    ~heartbeat()
    {
        m_isStopping = true;
        m_thread.join();
    }
    void silence(const std::string& server)
    {
        const std::lock_guard lock { m_mutex };
        m_silent.insert(server);
    }
    void resume(const std::string& server)
    {
        const std::lock_guard lock { m_mutex };
        m_silent.erase(server);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_silent;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace review
