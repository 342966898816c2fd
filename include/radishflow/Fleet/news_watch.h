// Declares news_watch, which compares what this daemon knows of a table with what the fleet knows.
#pragma once

#include "radishflow/Fleet/table_news.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace radishflow {

struct news_watch_options {
    bool spreadsConfirmations = false; ///< Whether others need to know that nothing has changed.
    std::chrono::milliseconds confirmationStep { 700 }; ///< Least time between two confirmations.
    duration lagBound = std::chrono::milliseconds { 500 }; ///< How long this daemon's own call may lag behind the fleet; longer than the pause after news.
};

struct news_step {
    std::optional<table_news> publish; ///< What the others should hear.
    bool isConfirmed = false; ///< What is known here is complete as of the fleet's news.
    bool needsCatchUp = false; ///< This daemon's own call has missed something.
};

/// Answers the load that following the store puts on it: calls are held for long, and the fleet's news tell within
/// moments where one has gone silent. Not thread-safe.
class news_watch {
public:
    explicit news_watch(const news_watch_options& options)
        : m_options(options)
    {
    }

    news_step step(const table_progress& own, const table_news& fleet, time_point now)
    {
        news_step step;
        const bool isBehind = own.completeTo < fleet.newestChange;
        if (!isBehind)
            m_behindSince.reset();
        else if (!m_behindSince)
            m_behindSince = now;
        step.needsCatchUp = isBehind && now - *m_behindSince >= m_options.lagBound;
        step.isConfirmed = !isBehind && fleet.storeTime.count() > 0;
        const bool hasChange = own.news.newestChange > fleet.newestChange;
        const bool hasConfirmation = m_options.spreadsConfirmations && own.news.storeTime >= fleet.storeTime + m_options.confirmationStep;
        // An older reading would lose against the fleet's register.
        if (!isBehind && (hasChange || hasConfirmation))
            step.publish = table_news { .storeTime = std::max(own.news.storeTime, fleet.storeTime), .newestChange = std::max(own.news.newestChange, fleet.newestChange) };
        return step;
    }

private:
    news_watch_options m_options;
    std::optional<time_point> m_behindSince;
};

} // namespace radishflow
