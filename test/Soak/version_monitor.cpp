// Implements version_monitor, which derives a daemon's version from the routes that it serves.
#include "version_monitor.h"

#include "test_request.h"

#include <spdlog/fmt/fmt.h>

namespace radishflow {

static constexpr std::chrono::milliseconds interval { 100 };
static constexpr std::chrono::milliseconds pollTimeout { 300 };

version_monitor::version_monitor(relay_fleet& fleet)
    : m_fleet(fleet)
    , m_seen(static_cast<std::size_t>(fleet.daemons()))
    , m_thread([this] {
        while (!m_isStopping) {
            for (int daemon = 0; daemon < m_fleet.daemons(); ++daemon)
                poll(daemon);
            std::this_thread::sleep_for(interval);
        }
    })
{
}

version_monitor::~version_monitor()
{
    stop();
}

void version_monitor::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

// Polls in ascending order of versions, so that an update between two requests can't be mistaken for a reversion.
void version_monitor::poll(int daemon)
{
    std::atomic<int>& seen = m_seen[static_cast<std::size_t>(daemon)];
    for (int version = 1; version <= m_newest; ++version) {
        const int before = seen;
        const http_call_reply reply = httpCall({ .url = fmt::format("http://{}/v{}/w", m_fleet.callerAddress(daemon), version), .headers = headersOf({ .id = "watch", .timeLeft = pollTimeout }), .timeout = pollTimeout });
        if (reply.status == 0)
            return; // The plan may have stopped or paused the daemon.
        if (reply.status == 404)
            continue;
        if (reply.status == 200 && version < before) {
            const std::lock_guard lock { m_mutex };
            m_violations.push_back(fmt::format("daemon {} served version {} after version {}", daemon, version, before));
        }
        if (reply.status == 200 && version > before)
            seen = version;
    }
}

std::vector<std::string> version_monitor::violations() const
{
    const std::lock_guard lock { m_mutex };
    return m_violations;
}

} // namespace radishflow
