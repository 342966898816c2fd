// Implements soak_run: starts and ends the faults of the plan on time and checks the daemons' processes.
#include "soak_run.h"

#include "Support/process_usage.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace radishflow {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

static constexpr milliseconds tick { 10 };
static constexpr milliseconds stopSlack { 1000 }; ///< Allowance for the process to end after its grace period.
static constexpr double maxMegabytes = 32; ///< Limit of a daemon's peak memory use, as required in docs/CAPACITY.md.

static server_behaviour normalBehaviour()
{
    return { .events = 20, .pause = milliseconds { 15 }, .echoesRequestId = true };
}

// Every other seed runs daemons whose callers compete and whose operator may order roll-outs.
static std::vector<std::string> contractsOf(std::uint64_t seed)
{
    return seed % 2 == 1 ? std::vector { competitionContract(), rolloutContract() } : std::vector<std::string> {};
}

soak_run::soak_run(const soak_run_options& options)
    : m_options(options)
    , m_fleet({ .daemons = options.plan.daemons, .servers = options.plan.servers, .isProxied = true, .logFolder = options.logFolder, .behaviour = normalBehaviour(), .contracts = contractsOf(options.plan.seed) })
    , m_mayBeDown(static_cast<std::size_t>(options.plan.daemons), false)
    , m_evidence { .plan = drawPlan(options.plan), .began = steady::now(), .maxRevocationDelay = relay_fleet::maxRevocationDelay, .recoveredAt = options.plan.faultPeriod + options.recoveryTime }
    , m_callers(m_fleet, { .seed = options.plan.seed, .began = m_evidence.began })
    , m_versionMonitor(m_fleet)
    , m_stallMonitor(m_evidence.began)
{
}

milliseconds soak_run::now() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_evidence.began);
}

void soak_run::schedule(const soak_step& step)
{
    m_scheduled.push_back({ step.at, [this, step] { begin(step); } });
    m_scheduled.push_back({ step.end(), [this, step] { end(step); } });
}

soak_evidence soak_run::run()
{
    for (const soak_step& step : m_evidence.plan)
        schedule(step);
    const milliseconds length = m_evidence.recoveredAt + m_options.steadyTime;
    while (now() < length) {
        std::vector<scheduled_action> ready;
        const auto due = std::partition(m_scheduled.begin(), m_scheduled.end(), [this](const scheduled_action& action) { return action.at > now(); });
        std::move(due, m_scheduled.end(), std::back_inserter(ready));
        m_scheduled.erase(due, m_scheduled.end());
        std::stable_sort(ready.begin(), ready.end(), [](const scheduled_action& left, const scheduled_action& right) { return left.at < right.at; });
        for (const scheduled_action& action : ready)
            action.run();
        checkProcesses();
        std::this_thread::sleep_for(tick);
    }
    m_callers.stop();
    m_versionMonitor.stop();
    checkFinalState();
    m_evidence.calls = m_callers.calls();
    m_evidence.stalls = m_stallMonitor.stalls();
    for (int server = 0; server < m_fleet.servers(); ++server)
        m_evidence.seen.push_back(m_fleet.server(server).seen());
    return m_evidence;
}

void soak_run::begin(const soak_step& step)
{
    const auto isDown = [&] { return m_mayBeDown.at(static_cast<std::size_t>(step.target)); };
    switch (step.fault) {
    case soak_fault::PauseDaemon:
        if (!isDown())
            m_fleet.daemon(step.target).signal(SIGSTOP);
        return;
    case soak_fault::KillDaemon:
    case soak_fault::StopDaemon:
        m_fleet.daemon(step.target).signal(step.fault == soak_fault::KillDaemon ? SIGKILL : SIGTERM);
        m_mayBeDown.at(static_cast<std::size_t>(step.target)) = true;
        return;
    case soak_fault::CutStore:
        return m_fleet.storeLink(step.target).set(R"({"cut":true})");
    case soak_fault::HalfOpenStore:
        return m_fleet.storeLink(step.target).set(R"({"half_open":true})");
    case soak_fault::DropDataToStore:
        return m_fleet.storeLink(step.target).set(R"({"one_way":"up"})");
    case soak_fault::DropDataFromStore:
        return m_fleet.storeLink(step.target).set(R"({"one_way":"down"})");
    case soak_fault::DelayStore:
        return m_fleet.storeLink(step.target).set(R"({"delay_ms":150})");
    case soak_fault::StoreBusy:
        return m_fleet.store().setFault(store_fault::Busy);
    case soak_fault::StoreSilent:
        return m_fleet.store().setFault(store_fault::Silent);
    case soak_fault::StoreLosesReplies:
        return m_fleet.store().setFault(store_fault::ReplyLost);
    case soak_fault::StoreUnreachable:
        return m_fleet.store().setUnreachable(true);
    case soak_fault::StoreDropsHistory:
        return m_fleet.store().dropHistory();
    case soak_fault::ServerFails:
    case soak_fault::ServerCuts:
    case soak_fault::ServerCrashes:
    case soak_fault::ServerHangs:
    case soak_fault::ServerRefuses:
        return beginServerFault(step);
    case soak_fault::HalfOpenServer:
        return m_fleet.serverLink(step.target).set(R"({"half_open":true})");
    case soak_fault::ResetServer:
        return m_fleet.serverLink(step.target).set(R"({"cut_probability":0.5,"seed":)" + std::to_string(m_options.plan.seed) + '}');
    case soak_fault::DelayServer:
        return m_fleet.serverLink(step.target).set(R"({"delay_ms":100})");
    case soak_fault::ResetCallers:
        return m_fleet.callerLink(step.target).set(R"({"cut_probability":0.5,"seed":)" + std::to_string(m_options.plan.seed) + '}');
    case soak_fault::DelayCallers:
        return m_fleet.callerLink(step.target).set(R"({"delay_ms":100})");
    case soak_fault::DrainServer:
        return m_fleet.list(step.target, "draining");
    case soak_fault::UnlistServer:
        return m_fleet.store().unlist(m_fleet.server(step.target).id());
    case soak_fault::ListServerAsCold:
        return m_fleet.list(step.target, "ready", static_cast<int>(step.length.count()));
    case soak_fault::ChangeKey:
        ++m_keyNumber;
        publishConfiguration();
        m_evidence.keyRemovals.push_back(now());
        m_callers.setKey(m_keyNumber);
        return;
    case soak_fault::ChangeConfiguration:
        return publishConfiguration();
    }
}

void soak_run::beginServerFault(const soak_step& step)
{
    server_behaviour behaviour = normalBehaviour();
    if (step.fault == soak_fault::ServerFails)
        behaviour.kind = server_response_kind::Failure;
    else if (step.fault == soak_fault::ServerCuts)
        behaviour.kind = server_response_kind::Cut;
    else if (step.fault == soak_fault::ServerCrashes)
        behaviour.kind = server_response_kind::Crash;
    else if (step.fault == soak_fault::ServerHangs)
        behaviour.kind = server_response_kind::Silent;
    else
        behaviour.kind = server_response_kind::NotRun;
    m_fleet.server(step.target).setBehaviour(behaviour);
}

void soak_run::publishConfiguration()
{
    m_fleet.configure(++m_version, soak_callers::keyOf(m_keyNumber));
    m_versionMonitor.setNewest(m_version);
}

void soak_run::end(const soak_step& step)
{
    switch (componentOf(step.fault)) {
    case soak_component::Daemon:
        if (step.fault == soak_fault::PauseDaemon)
            m_fleet.daemon(step.target).signal(SIGCONT);
        else
            restartWhenEnded(step.target, step.at);
        return;
    case soak_component::StoreLink:
        return m_fleet.storeLink(step.target).clear();
    case soak_component::Store:
        m_fleet.store().setFault(store_fault::None);
        return m_fleet.store().setUnreachable(false);
    case soak_component::Server:
        return m_fleet.server(step.target).setBehaviour(normalBehaviour());
    case soak_component::ServerLink:
        return m_fleet.serverLink(step.target).clear();
    case soak_component::CallerLink:
        return m_fleet.callerLink(step.target).clear();
    case soak_component::ServerEntry:
        return m_fleet.list(step.target);
    case soak_component::Configuration:
        return;
    }
}

// Restarts a stopped daemon once its process has ended. While it is draining, the check is scheduled again; a daemon that exceeds
// its grace period is reported and killed. Does nothing when a kill in the meantime has already led to a restart.
void soak_run::restartWhenEnded(int daemon, milliseconds stoppedAt)
{
    if (!m_mayBeDown.at(static_cast<std::size_t>(daemon)))
        return;
    const bool isOverdue = now() > stoppedAt + relay_fleet::stopGrace + stopSlack;
    if (!m_fleet.daemon(daemon).wait(milliseconds { 0 })) {
        if (!isOverdue) {
            m_scheduled.push_back({ now() + tick, [this, daemon, stoppedAt] { restartWhenEnded(daemon, stoppedAt); } });
            return;
        }
        m_evidence.violations.push_back(fmt::format("daemon {}, stopped at {} ms, is still running at {} ms", daemon, stoppedAt.count(), now().count()));
        m_fleet.daemon(daemon).signal(SIGKILL);
    }
    m_fleet.restart(daemon);
    m_mayBeDown.at(static_cast<std::size_t>(daemon)) = false;
}

void soak_run::checkProcesses()
{
    for (int daemon = 0; daemon < m_fleet.daemons(); ++daemon) {
        if (m_mayBeDown[static_cast<std::size_t>(daemon)])
            continue;
        const std::optional<int> status = m_fleet.daemon(daemon).wait(milliseconds { 0 });
        if (!status)
            continue;
        m_evidence.violations.push_back(fmt::format("daemon {} ended by itself before {} ms with wait status {}", daemon, now().count(), *status));
        m_fleet.restart(daemon);
    }
}

void soak_run::checkFinalState()
{
    const std::vector<std::string> reverted = m_versionMonitor.violations();
    m_evidence.violations.insert(m_evidence.violations.end(), reverted.begin(), reverted.end());
    for (int daemon = 0; daemon < m_fleet.daemons(); ++daemon) {
        if (m_versionMonitor.seen(daemon) != m_version)
            m_evidence.violations.push_back(fmt::format("daemon {} serves version {} at the end, not {}", daemon, m_versionMonitor.seen(daemon), m_version));
        if (!m_fleet.waitReady(daemon, true, milliseconds { 0 }))
            m_evidence.violations.push_back(fmt::format("daemon {} is not ready at the end", daemon));
        if (const double peak = usageOf(m_fleet.daemon(daemon).pid()).peakMegabytes; peak > maxMegabytes)
            m_evidence.violations.push_back(fmt::format("daemon {} used up to {:.1f} MB of memory", daemon, peak));
        if (m_fleet.lookUp(daemon).size() != static_cast<std::size_t>(m_fleet.daemons()))
            m_evidence.violations.push_back(fmt::format("daemon {} does not list all daemons at the end", daemon));
    }
}

} // namespace radishflow
