// Implements the configuration that a daemon has in force.
#include "radishflow/Config/config_store.h"

#include "radishflow/Config/parse_service_files.h"

#include <mutex>
#include <utility>

namespace radishflow {

std::shared_ptr<const config_snapshot> config_store::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

config_version config_store::version() const
{
    const std::shared_ptr<const config_snapshot> snapshot = current();
    return snapshot ? snapshot->pointer.version : config_version {};
}

result<bool> config_store::accept(const config_pointer& pointer, std::string text)
{
    if (pointer.version <= version())
        return false;
    if (configObjectKey(text) != pointer.objectKey)
        return fail({ .code = failure_code::Broken, .step = "accept configuration", .peer = pointer.objectKey, .detail = "the text has another hash" });
    parsed_config parsed = parseServiceFiles({ { .name = pointer.objectKey, .text = text } });
    if (const auto* problems = std::get_if<std::vector<config_problem>>(&parsed))
        return fail({ .code = failure_code::Broken, .step = "accept configuration", .peer = pointer.objectKey, .detail = describe(problems->front()) });
    auto snapshot = std::make_shared<const config_snapshot>(config_snapshot {
        .pointer = pointer, .text = std::move(text), .config = std::get<fleet_config>(std::move(parsed)) });
    // Another thread may have taken a higher version while this one was parsing.
    const std::lock_guard lock(m_mutex);
    if (m_current && m_current->pointer.version >= pointer.version)
        return false;
    m_current = std::move(snapshot);
    return true;
}

} // namespace radishflow
