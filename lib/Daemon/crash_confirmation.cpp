// Implements the distinction between a server crash and a broken connection.
#include "radishflow/Daemon/crash_confirmation.h"

#include "radishflow/Daemon/load_reader.h"

namespace radishflow {

void crash_confirmation::recordProcessStart(const server_id& server, double startTime)
{
    const std::lock_guard lock { m_mutex };
    m_starts[server] = startTime;
}

double crash_confirmation::startTime(const server_id& server) const
{
    const std::lock_guard lock { m_mutex };
    const auto known = m_starts.find(server);
    return known == m_starts.end() ? 0 : known->second;
}

bool crash_confirmation::hasCrashed(const server_id& server, double startTime) const
{
    bool isReached = false;
    const double now = valueOr(
        [&]() -> result<double> {
            BOOST_LEAF_AUTO(text, m_client.readMetrics(server));
            isReached = true;
            return startTimeOf(text);
        },
        [](const failure&) { return 0.0; });
    return !isReached || (startTime > 0 && now > startTime);
}

} // namespace radishflow
