// Implements the cutting of callers' connections that take too long.
#include "connection_watch.h"

#include <Poco/Exception.h>
#include <spdlog/spdlog.h>

#include <cassert>
#include <mutex>

namespace radishflow {

// Limits are seconds long, so looking this often is exact enough and costs next to nothing.
static constexpr std::chrono::milliseconds lookInterval { 50 };

connection_watch::entry::entry(connection_watch& watch, const Poco::Net::StreamSocket& socket)
    : m_watch(watch)
{
    const std::lock_guard lock { m_watch.m_mutex };
    m_number = m_watch.m_nextNumber++;
    record& added = m_watch.m_records.emplace(m_number, record { .socket = socket }).first->second;
    if (m_watch.m_isClosed)
        cut(added, cut_kind::Both);
}

connection_watch::entry::~entry()
{
    lift();
    const std::lock_guard lock { m_watch.m_mutex };
    m_watch.m_records.erase(m_number);
}

void connection_watch::entry::limit(std::chrono::milliseconds time, cut_kind kind)
{
    const std::lock_guard lock { m_watch.m_mutex };
    record& own = m_watch.m_records.at(m_number);
    m_watch.m_limits += own.deadline == clock::time_point::max() ? 1 : 0;
    // The thread that already looks about would only be woken more often than it needs.
    if (m_watch.m_isAsleep)
        m_watch.m_changed.notify_all();
    own.deadline = clock::now() + time;
    own.kind = kind;
}

void connection_watch::entry::lift()
{
    const std::lock_guard lock { m_watch.m_mutex };
    m_watch.forgetLimit(m_watch.m_records.at(m_number));
}

bool connection_watch::entry::isCut() const
{
    const std::lock_guard lock { m_watch.m_mutex };
    return m_watch.m_records.at(m_number).isCut;
}

connection_watch::connection_watch()
    : m_thread([this] { loop(); })
{
}

connection_watch::~connection_watch()
{
    {
        const std::lock_guard lock { m_mutex };
        assert(m_records.empty() && "a connection outlives its watch");
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void connection_watch::cutAll()
{
    const std::lock_guard lock { m_mutex };
    m_isClosed = true;
    for (auto& [number, watched] : m_records)
        cut(watched, cut_kind::Both);
}

void connection_watch::forgetLimit(record& watched)
{
    if (watched.deadline == clock::time_point::max())
        return;
    watched.deadline = clock::time_point::max();
    --m_limits;
}

// A shutdown wakes the worker that waits in the socket; closing it here would free its descriptor under it.
void connection_watch::cut(record& watched, cut_kind kind)
{
    watched.isCut = true;
    try {
        if (kind == cut_kind::Reading)
            watched.socket.shutdownReceive();
        else
            watched.socket.shutdown();
    } catch (const Poco::Exception& error) {
        spdlog::debug("step=\"cut connection\" error=\"{}\"", error.displayText()); // The caller has closed it before.
    }
}

void connection_watch::cutExpired()
{
    const auto now = clock::now();
    for (auto& [number, watched] : m_records) {
        if (watched.deadline > now)
            continue;
        cut(watched, watched.kind);
        forgetLimit(watched);
    }
}

void connection_watch::loop()
{
    std::unique_lock lock { m_mutex };
    while (!m_isStopping) {
        m_isAsleep = m_limits == 0;
        m_changed.wait(lock, [&] { return m_isStopping || m_limits > 0; });
        m_isAsleep = false;
        m_changed.wait_for(lock, lookInterval, [&] { return m_isStopping; });
        cutExpired();
    }
}

} // namespace radishflow
