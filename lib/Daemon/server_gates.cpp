// Implements the admission of work to owned servers.
#include "radishflow/Daemon/server_gates.h"

#include "radishflow/Config/config_store.h"
#include "radishflow/Config/fleet_config.h"

#include <cassert>
#include <mutex>

namespace radishflow {

std::variant<term_number, refusal> server_gates::admit(const request_submission& submission)
{
    const auto config = m_configuration.current();
    const service_settings* service = config ? findService(config->config, submission.service) : nullptr;
    if (!service)
        return refusal { .status = 503, .title = "Service unknown to the owner", .detail = submission.service.value(), .tryNextServer = true };
    const std::lock_guard lock { m_mutex };
    int& running = m_running[submission.server];
    if (running >= service->serverLimit)
        return refusal { .status = 503, .title = "Server is full", .detail = submission.server.value(), .retryAfter = std::chrono::milliseconds { 500 }, .tryNextServer = true };
    ++running;
    return term_number { 1 };
}

void server_gates::finish(const request_submission& submission, const exchange_outcome&)
{
    const std::lock_guard lock { m_mutex };
    int& running = m_running[submission.server];
    assert(running > 0 && "each admission is finished once");
    --running;
}

std::unordered_map<server_id, int> server_gates::running() const
{
    const std::lock_guard lock { m_mutex };
    return m_running;
}

} // namespace radishflow
