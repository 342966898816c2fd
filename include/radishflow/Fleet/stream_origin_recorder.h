// Declares stream_origin_recorder, which collects the origins of streams at the daemons that write them to the platform's store.
#pragma once

#include "radishflow/Fleet/stream_origin_log.h"
#include "radishflow/Routing/fleet_view.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace radishflow {

struct stream_origin_recorder_options {
    std::function<bool(const version_key&)> isNeeded; ///< Returns whether the origins of streams at a version are to be recorded.
    std::function<void(const std::vector<stream_origin>&, const std::string& host)> send; ///< Sends origins to the daemon on a host.
    /// Writes origins as the recorder with a number, counted from 0; returns false on failure.
    std::function<bool(const std::vector<stream_origin>&, std::size_t recorder)> write;
    std::size_t maxOriginsPerWrite = 0;
};

/// Thread-safe; sendOwn() and record() may each be called by one thread at a time.
class stream_origin_recorder {
public:
    explicit stream_origin_recorder(stream_origin_recorder_options);

    /// Adds the origin of a stream that began at this daemon.
    void addOwn(const stream_origin& origin, time_point now) { m_own.add(origin, now); }
    /// Adds an origin that another daemon has sent, if this daemon is a recorder.
    void receive(const stream_origin&, time_point now);
    /// Sends the needed ones of this daemon's origins to the recorders. Call it every few hundred milliseconds.
    void sendOwn(const fleet_view&, time_point now);
    /// Writes the needed origins if this daemon is a recorder.
    void record(const fleet_view&, time_point now);
    /// Lets record() write all origins of the last half minute again, as a store that came back from a copy may have lost them.
    void recordAgain() { m_collected.putBackAll(); }

private:
    stream_origin_recorder_options m_options;
    std::atomic<bool> m_isRecorder = false;
    stream_origin_log m_own;
    stream_origin_log m_collected; ///< Of all daemons.
};

} // namespace radishflow
