// Declares soak_run, one soak of real daemons under disturbances drawn from a seed.
#pragma once

#include "relay_fleet.h"
#include "soak_callers.h"
#include "soak_evidence.h"
#include "soak_plan.h"
#include "stall_watch.h"
#include "version_watch.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace radishflow {

struct soak_run_options {
    soak_plan_options plan;
    std::chrono::milliseconds settling { 8000 }; ///< From the last disturbance until every call has to be served.
    std::chrono::milliseconds calm { 3000 }; ///< Time after that.
    std::string logFolder; ///< Empty to drop the daemons' logs.
};

/// Plays one plan. Used by the main thread, since a daemon ends with the thread that started it.
class soak_run {
public:
    explicit soak_run(const soak_run_options&);

    soak_evidence play();

private:
    struct due_action {
        std::chrono::milliseconds at;
        std::function<void()> run;
    };

    std::chrono::milliseconds now() const;
    void schedule(const soak_step&);
    void begin(const soak_step&);
    void end(const soak_step&);
    void beginAtServer(const soak_step&);
    void changeConfiguration();
    void restartStopped(int daemon, std::chrono::milliseconds stoppedAt);
    void checkProcesses();
    void checkEnd();

    soak_run_options m_options;
    relay_fleet m_fleet;
    std::vector<bool> m_mayBeOut; ///< Daemons that were killed or stopped, by number.
    soak_evidence m_evidence;
    std::vector<due_action> m_due;
    int m_version = 1;
    int m_keyNumber = 1;
    soak_callers m_callers;
    version_watch m_versions;
    stall_watch m_stalls;
};

} // namespace radishflow
