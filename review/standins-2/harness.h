// Stand-ins of the platform, its backend servers and its callers for the scripts of the second review, and the control of the daemons.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

/// Thrown if a case cannot run.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Writes record.txt with the time since the start of the case.
class recorder {
public:
    explicit recorder(const std::string& path)
        : m_file(path)
    {
    }
    void write(const std::string& text)
    {
        const std::lock_guard lock { m_mutex };
        m_file << since() << ' ' << text << '\n';
    }
    void say(const std::string& text)
    {
        write(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }
    std::int64_t since() const { return std::chrono::duration_cast<milliseconds>(steady::now() - m_startedAt).count(); }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_startedAt = steady::now();
};

/// Returns whether the script runs with its disruption.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string { value } != "0";
}

struct endpoint {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ':' + std::to_string(port); }
};

inline sockaddr_in toSocketAddress(const endpoint& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

inline void setReset(int descriptor)
{
    const linger reset { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

/// Accepts connections and serves each on a thread of its own. close() refuses new connections and resets the open ones.
class listener {
public:
    using serve_function = std::function<void(int descriptor)>;

    listener(endpoint address, serve_function serve)
        : m_address(std::move(address))
        , m_serve(std::move(serve))
    {
        open();
    }
    ~listener() { close(); }
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    const endpoint& address() const { return m_address; }

    void open()
    {
        if (m_descriptor >= 0)
            return;
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = toSocketAddress(m_address);
        if (::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(m_descriptor, 512) != 0)
            throw cannot_run("no free address " + m_address.text());
        m_isOpen = true;
        m_acceptor = std::thread { [this, descriptor = m_descriptor] { accept(descriptor); } };
    }

    /// Refuses new connections only.
    void refuse()
    {
        if (m_descriptor < 0)
            return;
        m_isOpen = false;
        ::shutdown(m_descriptor, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_descriptor);
        m_descriptor = -1;
    }

    void close()
    {
        refuse();
        std::unique_lock lock { m_mutex };
        // Disconnecting sends a reset; the thread that serves the connection closes the descriptor.
        const sockaddr none { .sa_family = AF_UNSPEC, .sa_data = {} };
        for (const int open : m_connections)
            ::connect(open, &none, sizeof none);
        m_changed.wait(lock, [this] { return m_connections.empty(); });
    }

private:
    void accept(int descriptor)
    {
        while (m_isOpen) {
            const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock { m_mutex };
                m_connections.insert(accepted);
            }
            std::thread { [this, accepted] {
                m_serve(accepted);
                const std::lock_guard lock { m_mutex };
                m_connections.erase(accepted);
                ::close(accepted);
                m_changed.notify_all();
            } }.detach();
        }
    }

    endpoint m_address;
    serve_function m_serve;
    int m_descriptor = -1;
    std::atomic<bool> m_isOpen = false;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<int> m_connections;
};

/// A request or response.
struct message {
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const char* name) const
    {
        for (const auto& [key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    std::string word(int number) const
    {
        std::istringstream words { firstLine };
        std::string word;
        for (int index = 0; index <= number; ++index)
            words >> word;
        return word;
    }
    int status() const { return std::atoi(word(1).c_str()); }
    std::string path() const { return word(1).substr(0, word(1).find('?')); }
    std::string query(const std::string& name) const
    {
        const std::string target = word(1);
        for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + '=') == 0) {
                const auto begin = at + name.size() + 2;
                return target.substr(begin, target.find('&', begin) - begin);
            }
        }
        return {};
    }
};

/// One side of an HTTP/1.1 connection.
class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    bool send(const std::string& text) const
    {
        for (std::size_t done = 0; done < text.size();) {
            const ssize_t sent = ::send(m_descriptor, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }

    bool receive(steady::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
        pollfd polled { .fd = m_descriptor, .events = POLLIN, .revents = 0 };
        if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0)
            return false;
        char buffer[16384];
        const ssize_t count = ::recv(m_descriptor, buffer, sizeof buffer, 0);
        if (count > 0)
            m_input.append(buffer, static_cast<std::size_t>(count));
        return count > 0;
    }

    bool readHead(message& read, steady::time_point deadline)
    {
        while (m_input.find("\r\n\r\n") == std::string::npos) {
            if (!receive(deadline))
                return false;
        }
        const auto end = m_input.find("\r\n\r\n");
        std::istringstream lines { m_input.substr(0, end) };
        m_input.erase(0, end + 4);
        read = {};
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (read.firstLine.empty()) {
                read.firstLine = line;
                continue;
            }
            const auto colon = line.find(':');
            const auto value = colon == std::string::npos ? std::string::npos : line.find_first_not_of(' ', colon + 1);
            read.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string {} : line.substr(value));
        }
        return true;
    }

    /// Reads a body with a length or in chunks; calls onPart after each part. Returns whether it is complete.
    bool readBody(message& read, steady::time_point deadline, const std::function<void()>& onPart = {})
    {
        const auto report = [&] { if (onPart) onPart(); };
        if (strcasecmp(read.field("Transfer-Encoding").c_str(), "chunked") != 0) {
            const auto length = static_cast<std::size_t>(std::atoll(read.field("Content-Length").c_str()));
            while (m_input.size() < length) {
                if (!receive(deadline))
                    return false;
            }
            read.body = m_input.substr(0, length);
            m_input.erase(0, length);
            report();
            return true;
        }
        while (true) {
            std::size_t end = 0;
            while ((end = m_input.find("\r\n")) == std::string::npos) {
                if (!receive(deadline))
                    return false;
            }
            const auto size = static_cast<std::size_t>(std::strtoull(m_input.c_str(), nullptr, 16));
            while (m_input.size() < end + 2 + size + 2) {
                if (!receive(deadline))
                    return false;
            }
            read.body += m_input.substr(end + 2, size);
            m_input.erase(0, end + 2 + size + 2);
            report();
            if (size == 0)
                return true;
        }
    }

    bool hasPeerLeft() const
    {
        pollfd polled { .fd = m_descriptor, .events = POLLRDHUP, .revents = 0 };
        return ::poll(&polled, 1, 0) > 0 && polled.revents != 0;
    }

private:
    int m_descriptor;
    std::string m_input;
};

inline std::string writeResponse(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string encodeBase64(const std::string& text)
{
    static constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        unsigned bits = 0;
        for (std::size_t index = 0; index < 3; ++index)
            bits = bits << 8U | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            result += at + index <= text.size() ? digits[bits >> (18 - 6 * index) & 63U] : '=';
    }
    return result;
}

/// Returns the text of a member of a flat JSON object; empty if there is none.
inline std::string textMember(const std::string& object, const std::string& name)
{
    const auto at = object.find('"' + name + "\":\"");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 4;
    std::string text = object.substr(begin, object.find('"', begin) - begin);
    std::erase(text, '\\'); // Of escaped slashes; the daemons write no other escapes.
    return text;
}

/// Stand-in of the platform's store. Each daemon calls it at an address of its own, which can be closed, and may see addresses of backend
/// servers of its own.
class store {
public:
    using rewrite_function = std::function<std::string(int daemon, const std::string& value)>;

    explicit store(rewrite_function rewrite = {})
        : m_rewrite(std::move(rewrite))
    {
    }
    ~store()
    {
        {
            const std::lock_guard lock { m_mutex };
            m_isStopping = true;
        }
        m_changed.notify_all();
        m_listeners.clear();
    }

    endpoint serve(int daemon, const endpoint& address)
    {
        m_listeners[daemon] = std::make_unique<listener>(address, [this, daemon](int descriptor) { serveConnection(daemon, descriptor); });
        return address;
    }
    void refuse(int daemon) { m_listeners.at(daemon)->close(); }
    void accept(int daemon) { m_listeners.at(daemon)->open(); }

    void put(const std::string& table, const std::string& key, const std::string& value) { write(table, key, encodeBase64(value), false, value); }
    void remove(const std::string& table, const std::string& key) { write(table, key, {}, true, {}); }
    /// Writes several rows at the same moment.
    void put(const std::string& table, const std::map<std::string, std::string>& rows)
    {
        const std::lock_guard lock { m_mutex };
        for (const auto& [key, value] : rows)
            m_tables[table][key] = { .encoded = encodeBase64(value), .plain = value, .revision = ++m_revision };
        m_changed.notify_all();
    }

private:
    struct row {
        std::string encoded;
        std::string plain; ///< Of rows that the operator and the servers wrote.
        std::uint64_t revision = 0;
        bool isRemoved = false;
    };

    void write(const std::string& table, const std::string& key, const std::string& encoded, bool isRemoved, const std::string& plain)
    {
        const std::lock_guard lock { m_mutex };
        m_tables[table][key] = { .encoded = encoded, .plain = plain, .revision = ++m_revision, .isRemoved = isRemoved };
        m_changed.notify_all();
    }

    std::string rowsOf(int daemon, const std::string& table, std::uint64_t after, bool includesRemoved, const std::string& from, const std::string& to)
    {
        std::string rows;
        for (const auto& [key, stored] : m_tables[table]) {
            if (stored.revision <= after || (stored.isRemoved && !includesRemoved) || key < from || (!to.empty() && key >= to))
                continue;
            const std::string encoded = m_rewrite && table == "servers" && !stored.isRemoved ? encodeBase64(m_rewrite(daemon, stored.plain)) : stored.encoded;
            rows += (rows.empty() ? "" : ",") + std::string { R"({"table":")" } + table + R"(","part":"","key":")" + key + R"(","ver":)" + std::to_string(stored.revision);
            rows += stored.isRemoved ? R"(,"tombstone":true})" : R"(,"value":")" + encoded + "\"}";
        }
        const auto now = std::chrono::duration_cast<milliseconds>(steady::now() - m_startedAt).count();
        return R"({"rows":[)" + rows + R"(],"has_more":false,"ver":)" + std::to_string(m_revision) + R"(,"now_ms":)" + std::to_string(now) + '}';
    }

    static std::vector<std::string> objectsOf(const std::string& body, const std::string& list)
    {
        std::vector<std::string> objects;
        const auto at = body.find('"' + list + "\":[");
        if (at == std::string::npos)
            return objects;
        const auto end = body.find(']', at);
        for (auto begin = body.find('{', at); begin != std::string::npos && begin < end; begin = body.find('{', begin + 1))
            objects.push_back(body.substr(begin, body.find('}', begin) - begin + 1));
        return objects;
    }

    std::string applyTransaction(const std::string& body)
    {
        for (const std::string& object : objectsOf(body, "writes"))
            write(textMember(object, "table"), textMember(object, "key"), textMember(object, "value"), false, {});
        for (const std::string& object : objectsOf(body, "remove"))
            write(textMember(object, "table"), textMember(object, "key"), {}, true, {});
        const std::lock_guard lock { m_mutex };
        return rowsOf(-1, "none", 0, false, {}, {});
    }

    void serveConnection(int daemon, int descriptor)
    {
        connection peer { descriptor };
        message call;
        while (peer.readHead(call, steady::now() + std::chrono::minutes { 3 }) && peer.readBody(call, steady::now() + std::chrono::seconds { 5 })) {
            std::this_thread::sleep_for(milliseconds { 4 });
            std::string text;
            int status = 200;
            const std::string from = call.query("from").substr(0, call.query("from").find('%'));
            if (call.path() == "/rows-get") {
                const std::lock_guard lock { m_mutex };
                text = rowsOf(daemon, call.query("table"), 0, false, from, {});
            } else if (call.path() == "/rows-feed") {
                std::unique_lock lock { m_mutex };
                const auto after = std::strtoull(call.query("after").c_str(), nullptr, 10);
                const auto hasChanged = [&] {
                    for (const auto& [key, stored] : m_tables[call.query("table")]) {
                        if (stored.revision > after)
                            return true;
                    }
                    return m_isStopping;
                };
                const auto end = steady::now() + milliseconds { std::atoi(call.query("wait_ms").c_str()) };
                while (steady::now() < end && !hasChanged() && !peer.hasPeerLeft())
                    m_changed.wait_for(lock, milliseconds { 50 });
                text = rowsOf(daemon, call.query("table"), after, true, {}, {});
            } else if (call.path() == "/rows-tx") {
                text = applyTransaction(call.body);
            } else {
                status = 404;
            }
            if (!peer.send(writeResponse(status, "Content-Type: application/json\r\nStore-Era: 0\r\n", text)))
                return;
        }
    }

    rewrite_function m_rewrite;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_revision = 0;
    bool m_isStopping = false;
    steady::time_point m_startedAt = steady::now();
    std::map<int, std::unique_ptr<listener>> m_listeners;
};

/// A daemon: its settings and its process.
struct daemon_process {
    std::string name;
    std::string ip;
    std::string zone;
    std::string settingsPath;
    endpoint storeAddress;
    pid_t process = -1;
    steady::time_point startedAt {};
};

/// Starts and stops the daemons with the program of the deploy file.
class fleet {
public:
    static constexpr int callerPort = 8227;
    static constexpr int readinessPort = 8220;
    static constexpr int controlPort = 8229;
    static constexpr int lookupPort = 8224;
    static constexpr int firstPeerPort = 7340;

    explicit fleet(recorder& record)
        : m_record(record)
        , m_folder(std::filesystem::temp_directory_path() / ("review-2-" + std::to_string(getpid())))
        , m_net("127." + std::to_string(20 + getpid() % 200) + '.' + std::to_string(getpid() / 200 % 250) + '.')
    {
        std::signal(SIGPIPE, SIG_IGN);
        std::filesystem::create_directories(m_folder);
        if (!std::filesystem::exists("target/bin/radishflow-relayd"))
            throw cannot_run("target/bin/radishflow-relayd is missing");
    }
    ~fleet()
    {
        for (std::size_t number = 0; number < m_daemons.size(); ++number)
            kill(number);
        std::filesystem::remove_all(m_folder);
    }

    std::string ip(int number) const { return m_net + std::to_string(number); }
    std::vector<daemon_process>& daemons() { return m_daemons; }
    endpoint callers(std::size_t number) const { return { .ip = m_daemons[number].ip, .port = callerPort }; }

    void add(const std::string& zone, const endpoint& storeAddress)
    {
        const int number = static_cast<int>(m_daemons.size());
        m_daemons.push_back({ .name = "front-" + zone + '-' + std::to_string(number), .ip = ip(10 + number), .zone = zone, .settingsPath = m_folder / (std::to_string(number) + ".toml"), .storeAddress = storeAddress });
    }

    void start(std::size_t number, bool isFirstStart)
    {
        daemon_process& daemon = m_daemons[number];
        writeSettings(daemon, isFirstStart);
        const std::string log = m_folder / (std::to_string(number) + ".log");
        std::fflush(stdout);
        daemon.process = ::fork();
        if (daemon.process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // If this script is ended early.
            sigset_t none;
            sigemptyset(&none);
            ::sigprocmask(SIG_SETMASK, &none, nullptr);
            ::setenv("RADISHFLOW_NODE_FILE", daemon.settingsPath.c_str(), 1);
            const char* kept = std::getenv("REVIEW_LOGS");
            const std::string output = kept ? std::string { kept } + '/' + std::to_string(number) + ".log" : log;
            const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(file, 1);
            ::dup2(file, 2);
            ::execl("target/bin/radishflow-relayd", "radishflow-relayd", static_cast<char*>(nullptr));
            ::_exit(127);
        }
        daemon.startedAt = steady::now();
        m_record.write("daemon " + daemon.name + " started");
    }

    void startAll(bool isFirstStart)
    {
        for (std::size_t number = 0; number < m_daemons.size(); ++number)
            start(number, isFirstStart);
    }

    void signal(std::size_t number, int signal)
    {
        if (m_daemons[number].process > 0)
            ::kill(m_daemons[number].process, signal);
        m_record.write("daemon " + m_daemons[number].name + " got signal " + std::to_string(signal));
    }

    void kill(std::size_t number)
    {
        daemon_process& daemon = m_daemons[number];
        if (daemon.process <= 0)
            return;
        ::kill(daemon.process, SIGKILL);
        ::waitpid(daemon.process, nullptr, 0);
        daemon.process = -1;
        m_record.write("daemon " + daemon.name + " killed");
    }

    void killAll()
    {
        for (const daemon_process& daemon : m_daemons)
            ::kill(daemon.process, SIGKILL);
        for (std::size_t number = 0; number < m_daemons.size(); ++number)
            kill(number);
    }

    bool isReady(std::size_t number) const;
    void awaitReady(milliseconds timeout = milliseconds { 15000 }) const
    {
        const auto deadline = steady::now() + timeout;
        for (std::size_t number = 0; number < m_daemons.size(); ++number) {
            while (!isReady(number)) {
                if (steady::now() > deadline)
                    throw cannot_run("daemon " + std::to_string(number) + " is not ready");
                std::this_thread::sleep_for(milliseconds { 20 });
            }
        }
    }

private:
    void writeSettings(const daemon_process& daemon, bool isFirstStart) const
    {
        std::string seeds;
        for (std::size_t number = 0; number < std::min<std::size_t>(3, m_daemons.size()); ++number)
            seeds += (number == 0 ? "\"" : ",\"") + m_daemons[number].ip + ':' + std::to_string(controlPort) + '"';
        const auto address = [&](int port) { return '"' + daemon.ip + ':' + std::to_string(port) + "\"\n"; };
        std::ofstream file { daemon.settingsPath };
        file << "node = \"" << daemon.name << "\"\nrole = \"relay\"\nclass = \"front\"\nserves = [\"front\",\"control\",\"directory\"]\nip = \"" << daemon.ip << "\"\nzone = \"" << daemon.zone << "\"\nregion = \"vestland\"\n"
             << "port_range = [" << firstPeerPort << ',' << firstPeerPort + 15 << "]\nseeds = [" << seeds << "]\nbootstrap = " << (isFirstStart ? "true" : "false") << "\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n"
             << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"platform\"]\n"
             << "[zones]\nza = \"vestland\"\nzb = \"vestland\"\nzc = \"vestland\"\n"
             << "[listen]\nfront = " << address(callerPort) << "ready = " << address(readinessPort) << "control = " << address(controlPort) << "directory = " << address(lookupPort)
             << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
             << "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\nouter_ms = 5000\nrevoke_strict = true\nrevoke_ms = 5000\n"
             << "retry_budget = 0.2\nbudget_window_s = 10\nretry_slack = 52\ncold_excess = 1.5\ncold_slack = 5\nevac_ms = 5000\nrecover_s = 12\npass_ms = 120\nreuse_window_s = 10\ncap_factor = 2\nttl_max_s = 5\n"
             << "[platform]\naddr = \"" << daemon.storeAddress.text() << "\"\nform = \"table\"\nwrites_per_s = 400\nreads_per_s = 2000\ntx_ms = 5.0\npart_writes_s = 200\nrow_bytes = 65536\nacross = false\nhistory_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\nblob_mb_s = 80.0\n";
    }

    recorder& m_record;
    std::filesystem::path m_folder;
    std::string m_net;
    std::vector<daemon_process> m_daemons;
};

struct call_result {
    int status = 0; ///< 0 if the connection failed or broke before a response.
    bool isComplete = false;
    message response;
};

/// A caller's connection, which is kept open between calls.
class caller {
public:
    explicit caller(endpoint address)
        : m_address(std::move(address))
    {
    }
    ~caller() { close(); }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
        m_connection.reset();
    }

    bool open()
    {
        if (m_connection)
            return true;
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = toSocketAddress(m_address);
        const timeval timeout { .tv_sec = 1, .tv_usec = 0 };
        const int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            close();
            return false;
        }
        m_connection.emplace(m_descriptor);
        return true;
    }

    call_result call(const std::string& firstLine, const std::string& fields, const std::string& body, milliseconds timeout, const std::function<bool(const message&)>& onPart = {})
    {
        call_result result;
        if (!open())
            return result;
        const auto deadline = steady::now() + timeout;
        const std::string length = body.empty() ? std::string {} : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        bool isLeft = false;
        if (m_connection->send(firstLine + " HTTP/1.1\r\nHost: chat.example\r\n" + fields + length + "\r\n" + body) && m_connection->readHead(result.response, deadline)) {
            result.status = result.response.status();
            result.isComplete = m_connection->readBody(result.response, deadline, [&] { isLeft = isLeft || (onPart && !onPart(result.response)); if (isLeft) ::shutdown(m_descriptor, SHUT_RDWR); });
        }
        if (isLeft || !result.isComplete || strcasecmp(result.response.field("Connection").c_str(), "close") == 0)
            close();
        return result;
    }

private:
    endpoint m_address;
    int m_descriptor = -1;
    std::optional<connection> m_connection;
};

inline bool fleet::isReady(std::size_t number) const
{
    caller probe { { .ip = m_daemons[number].ip, .port = readinessPort } };
    return probe.call("GET /readyz", {}, {}, milliseconds { 500 }).status == 200;
}

inline std::string requestFields(const std::string& id, int timeLeftMs)
{
    return "X-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(timeLeftMs) + "\r\nApi-Key: key-of-w\r\n";
}

/// Runs a case: returns the exit code of its script.
inline int runCase(const char* name, const std::function<bool(recorder&)>& hasHeld)
{
    const char* path = std::getenv("RECORD");
    recorder record { path ? path : "record.txt" };
    record.write(std::string { name } + (hasTrouble() ? ", with the disruption" : ", without the disruption"));
    try {
        const bool held = hasHeld(record);
        record.say(held ? "the rule held" : "the rule was broken");
        return held ? exitHeld : exitBroken;
    } catch (const std::exception& error) {
        record.say(std::string { "the case could not run: " } + error.what());
        return exitNotRun;
    }
}

} // namespace review
