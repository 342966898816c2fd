// Declares soak_run, which runs real daemons under the faults of one plan.
#pragma once

#include "relay_fleet.h"
#include "soak_callers.h"
#include "soak_evidence.h"
#include "soak_plan.h"
#include "stall_monitor.h"
#include "version_monitor.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace radishflow {

struct soak_run_options {
    soak_plan_options plan;
    std::chrono::milliseconds recoveryTime { 8000 }; ///< Time from the end of the last fault until every call must succeed.
    std::chrono::milliseconds steadyTime { 3000 }; ///< Time after the recovery during which every call must succeed.
    std::string logFolder; ///< Empty to discard the daemons' logs.
};

/// Runs one plan. Used by the main thread only, because a daemon ends with the thread that started it.
class soak_run {
public:
    explicit soak_run(const soak_run_options&);

    soak_evidence run();

private:
    struct scheduled_action {
        std::chrono::milliseconds at;
        std::function<void()> run;
    };

    std::chrono::milliseconds now() const;
    void schedule(const soak_step&);
    void begin(const soak_step&);
    void end(const soak_step&);
    void beginServerFault(const soak_step&);
    void publishConfiguration();
    void restartWhenEnded(int daemon, std::chrono::milliseconds stoppedAt);
    void checkProcesses();
    void checkFinalState();

    soak_run_options m_options;
    relay_fleet m_fleet;
    std::vector<bool> m_mayBeDown; ///< Whether a daemon was killed or stopped and not restarted yet, by number.
    soak_evidence m_evidence;
    std::vector<scheduled_action> m_scheduled;
    int m_version = 1;
    int m_keyNumber = 1;
    soak_callers m_callers;
    version_monitor m_versionMonitor;
    stall_monitor m_stallMonitor;
};

} // namespace radishflow
