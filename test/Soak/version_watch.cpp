// Implements the look for daemons that go back to an older configuration.
#include "version_watch.h"

#include "test_request.h"

#include <spdlog/fmt/fmt.h>

namespace radishflow {

static constexpr std::chrono::milliseconds interval { 100 };
static constexpr std::chrono::milliseconds askBound { 300 };

version_watch::version_watch(relay_fleet& fleet)
    : m_fleet(fleet)
    , m_seen(static_cast<std::size_t>(fleet.daemons()))
    , m_thread([this] {
        while (!m_isStopping) {
            for (int daemon = 0; daemon < m_fleet.daemons(); ++daemon)
                look(daemon);
            std::this_thread::sleep_for(interval);
        }
    })
{
}

version_watch::~version_watch()
{
    stop();
}

void version_watch::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

// Upwards, so that a change between two questions can't look like a step back.
void version_watch::look(int daemon)
{
    std::atomic<int>& seen = m_seen[static_cast<std::size_t>(daemon)];
    for (int version = 1; version <= m_newest; ++version) {
        const int before = seen;
        const http_call_reply reply = httpCall({ .url = fmt::format("http://{}/v{}/w", m_fleet.callerAddress(daemon), version), .headers = headersOf({ .id = "watch", .timeLeft = askBound }), .timeout = askBound });
        if (reply.status == 0)
            return; // Out or paused, as the plan may have it.
        if (reply.status == 404)
            continue;
        if (reply.status == 200 && version < before) {
            const std::lock_guard lock { m_mutex };
            m_broken.push_back(fmt::format("daemon {} served version {} after version {}", daemon, version, before));
        }
        if (reply.status == 200 && version > before)
            seen = version;
    }
}

std::vector<std::string> version_watch::broken() const
{
    const std::lock_guard lock { m_mutex };
    return m_broken;
}

} // namespace radishflow
