// Implements the collection of the origins of streams.
#include "radishflow/Fleet/stream_origin_recorder.h"

#include "radishflow/Fleet/stream_holders.h"

#include <algorithm>
#include <utility>

namespace radishflow {

// Bounds the datagrams that a daemon sends at once when a second version of a service appears: its log then holds the origins of all
// running streams.
static constexpr std::size_t maxOriginsPerRound = 400;

stream_origin_recorder::stream_origin_recorder(stream_origin_recorder_options options)
    : m_options(std::move(options))
{
}

void stream_origin_recorder::receive(const stream_origin& origin, time_point now)
{
    if (m_isRecorder)
        m_collected.add(origin, now);
}

void stream_origin_recorder::sendOwn(const fleet_view& fleet, time_point now)
{
    const auto recorders = streamRecorders(fleet);
    m_isRecorder = std::any_of(recorders.begin(), recorders.end(), [&](const fleet_daemon* daemon) { return daemon->id == fleet.self; });
    const auto origins = m_own.take(m_options.isNeeded, maxOriginsPerRound, now);
    if (origins.empty())
        return;
    for (const fleet_daemon* recorder : recorders) {
        if (recorder->id != fleet.self) {
            m_options.send(origins, recorder->callerAddress.substr(0, recorder->callerAddress.find(':')));
            continue;
        }
        for (const stream_origin& origin : origins)
            m_collected.add(origin, now);
    }
}

void stream_origin_recorder::record(const fleet_view& fleet, time_point now)
{
    const auto recorders = streamRecorders(fleet);
    const auto self = std::find_if(recorders.begin(), recorders.end(), [&](const fleet_daemon* daemon) { return daemon->id == fleet.self; });
    if (self == recorders.end())
        return;
    const auto origins = m_collected.take(m_options.isNeeded, m_options.maxOriginsPerWrite, now);
    if (!origins.empty() && !m_options.write(origins, static_cast<std::size_t>(self - recorders.begin())))
        m_collected.putBack(origins);
}

} // namespace radishflow
