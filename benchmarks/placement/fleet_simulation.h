// Declares fleet_simulation, a discrete-event simulation of one policy on one request trace.
#pragma once

#include "radishflow/Placement/chat_server_hash.h"
#include "radishflow/Placement/placement_policy.h"
#include "radishflow/Placement/probe_sequence.h"

#include "arrival_trace.h"
#include "fleet_state.h"
#include "measurements.h"
#include "scenario.h"
#include "simulated_request.h"
#include "simulation_event.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

namespace radishflow {

/// Simulates the requests of a trace, placed by deciders that use the policy. `makePolicy(decider)` creates the policy of one decider.
template <placement_policy Policy>
class fleet_simulation {
public:
    template <typename MakePolicy>
    fleet_simulation(const fleet_layout& layout, const fleet_options& options, const scenario& events,
        const std::vector<chat_turn>& turns, MakePolicy&& makePolicy, measurements& results)
        : m_layout(layout)
        , m_options(options)
        , m_events(events)
        , m_turns(turns)
        , m_results(results)
        , m_fleet(layout, options)
        , m_requests(turns.size())
    {
        for (std::size_t i = 0; i < options.deciders; ++i) {
            const double fraction = static_cast<double>(mixBits(options.seed * 1000 + i) % 1000) / 1000;
            m_deciders.push_back({ makePolicy(i),
                options.minViewDelay + fraction * (options.maxViewDelay - options.minViewDelay),
                std::vector<sim_time>(layout.servers) });
        }
    }

    /// Simulates `length` and then 150 s more, in which pending requests complete or fail.
    void run(sim_time length)
    {
        const sim_time end = length + maxResponseTime;
        for (std::uint32_t i = 0; i < m_turns.size(); ++i)
            schedule(m_turns[i].arrival, event_kind::Arrival, i);
        for (std::uint32_t i = 0; i < m_events.changes.size(); ++i)
            schedule(m_events.changes[i].at, event_kind::Change, i);
        schedule(fleet_state::tickLength, event_kind::Tick, 0);
        while (!m_queue.empty() && m_queue.top().at < end) {
            const event next = m_queue.top();
            m_queue.pop();
            m_now = next.at;
            handle(next);
        }
    }

private:
    static constexpr sim_time firstTokenDeadline { 5 };
    static constexpr sim_time maxResponseTime { 150 };
    static constexpr sim_time refusalRoundTrip { 0.003 };
    static constexpr sim_time remoteRefusalRoundTrip { 0.06 };
    static constexpr sim_time connectTimeout { 0.3 };
    static constexpr sim_time unreachableServerTtl { 3 };
    static constexpr sim_time lossDetectionTime { 1 }; ///< Time to detect an interrupted stream or an unreachable daemon.
    static constexpr sim_time crashDetectionTime { 0.05 };
    static constexpr sim_time firstBackoff { 0.1 };
    static constexpr sim_time overloadRestartTime { 10 };

    using event_kind = simulation_event_kind;
    using event = simulation_event;

    struct decider {
        Policy policy;
        sim_time viewDelay;
        std::vector<sim_time> unreachableUntil;
    };

    void schedule(sim_time at, event_kind kind, std::uint32_t subject, std::uint32_t run = 0)
    {
        m_queue.push({ at, m_order++, kind, subject, run });
    }

    void handle(const event& next)
    {
        switch (next.kind) {
        case event_kind::Arrival:
            m_results.recordArrival(m_now);
            m_requests[next.subject].deadline = m_now + firstTokenDeadline;
            return dispatch(next.subject);
        case event_kind::Dispatch:
            return dispatch(next.subject);
        case event_kind::Finish:
            return finish(next.subject, next.run);
        case event_kind::Change:
            return applyChange(m_events.changes[next.subject]);
        case event_kind::StopAdmitting:
            return stopAdmitting(next.subject);
        case event_kind::RestartOverloaded:
            return returnToService(next.subject);
        case event_kind::Tick:
            return tick();
        case event_kind::ExportTick:
            return exportTick();
        }
    }

    bool isUnreachable(std::size_t deciderIndex) const
    {
        if (m_events.lostZone < 0 || m_options.deciders < m_layout.zones)
            return false;
        return m_now >= m_events.eventStart && m_now < m_events.eventEnd
            && m_layout.zoneOf(deciderIndex) == static_cast<std::size_t>(m_events.lostZone);
    }

    // A chat always uses the same daemon, or the next reachable one of the region while that daemon is unreachable.
    std::size_t deciderOf(std::uint64_t chat) const
    {
        std::size_t index = mixBits(chat) % m_deciders.size();
        while (isUnreachable(index))
            index = (index + m_layout.regions) % m_deciders.size();
        return index;
    }

    void dispatch(std::uint32_t id)
    {
        const chat_turn& turn = m_turns[id];
        simulated_request& request = m_requests[id];
        const bool isFirst = request.attempts == 0 && request.backoffs == 0;
        if (isFirst && isUnreachable(mixBits(turn.chat) % m_deciders.size())) {
            ++request.backoffs;
            return schedule(m_now + lossDetectionTime, event_kind::Dispatch, id);
        }
        const std::size_t index = deciderOf(turn.chat);
        placeRequest(id, m_deciders[index], { .chatHash = turn.chat, .region = regionName(m_layout.regionOf(index)), .tailSeed = mixBits(id * 64U + request.backoffs + 1U) });
    }

    void placeRequest(std::uint32_t id, decider& from, const placement_request& placementRequest)
    {
        simulated_request& request = m_requests[id];
        const std::span<const placement_server> view = m_fleet.view(from.viewDelay);
        server_ranking ranking = from.policy.rank(placementRequest, view, m_options.maxAttempts);
        // With 0 affinity ranks, the request is offered to every rank in order, without querying for the prefix first.
        probe_sequence sequence { std::move(ranking), { .affinityRanks = m_options.triesAffinityRanksFirst ? m_options.affinityRanks : 0 } };
        sim_time elapsed {};
        while (const auto step = sequence.next()) {
            if (from.unreachableUntil[step->server] > m_now) {
                sequence.recordRefusal({});
                continue;
            }
            ++request.attempts;
            engine_model& engine = m_fleet.engine(step->server);
            if (!engine.isReachable) {
                from.unreachableUntil[step->server] = m_now + unreachableServerTtl;
                return schedule(m_now + connectTimeout, event_kind::Dispatch, id);
            }
            const bool hasRoom = m_fleet.admits(step->server);
            const prefix_state held = engine.sketch(m_now).stateOf(placementRequest.chatHash);
            if (hasRoom && acceptsAttempt(*step, held)) {
                request.holder = m_options.importsOnSpill ? step->holder : std::nullopt;
                return admit(id, step->server, elapsed);
            }
            sequence.recordRefusal({ .hasRoom = hasRoom, .load = m_fleet.loadShare(step->server), .held = held });
            elapsed += view[step->server].region == placementRequest.region ? refusalRoundTrip : remoteRefusalRoundTrip;
        }
        retryLater(id);
    }

    void retryLater(std::uint32_t id)
    {
        simulated_request& request = m_requests[id];
        const sim_time pause = firstBackoff * static_cast<double>(1U << std::min(request.backoffs, 4U));
        ++request.backoffs;
        if (m_now + pause > request.deadline)
            return m_results.recordFailure(m_turns[id].arrival, request.attempts);
        schedule(m_now + pause, event_kind::Dispatch, id);
    }

    void admit(std::uint32_t id, std::uint32_t server, sim_time elapsed)
    {
        engine_model& engine = m_fleet.engine(server);
        m_requests[id].server = server;
        const bool mustQueue = engine.running.size() >= m_options.engine.slots;
        m_fleet.addLoad(server);
        if (!mustQueue)
            startRequest(id, m_now + elapsed);
        if (mustQueue)
            engine.queued.push_back(id);
        if (!m_results.isMeasured(m_now))
            return;
        m_results.queuedAdmissions += mustQueue ? 1 : 0;
        m_results.admissionsAboveBound += m_fleet.isAboveBound(server) ? 1 : 0;
        if (engine.isCold() && static_cast<double>(engine.load()) > engine.concurrencyLimit) {
            ++m_results.coldOverloads;
            schedule(m_now + overloadRestartTime, event_kind::RestartOverloaded, server);
            fail(server, crashDetectionTime);
        }
    }

    // Returns the tokens that the holder has cached beyond those that the engine has cached itself.
    std::uint32_t importableTokens(std::uint32_t id, std::uint32_t cached)
    {
        const simulated_request& request = m_requests[id];
        if (!request.holder || !m_fleet.engine(*request.holder).isUp)
            return 0;
        const std::uint32_t held = std::min(m_fleet.engine(*request.holder).usePrefix(m_turns[id].chat), m_turns[id].contextTokens);
        return held - std::min(held, cached);
    }

    void startRequest(std::uint32_t id, sim_time start)
    {
        const chat_turn& turn = m_turns[id];
        simulated_request& request = m_requests[id];
        engine_model& engine = m_fleet.engine(request.server);
        engine.running.insert(id);
        const std::uint32_t cached = std::min(engine.usePrefix(turn.chat), turn.contextTokens);
        const std::uint32_t imported = importableTokens(id, cached);
        start += imported * m_options.engine.importTimePerToken;
        const sim_time prefill { (turn.contextTokens - cached - imported) / m_options.engine.prefillTokensPerSecond };
        engine.prefillAvailableAt = std::max(start, engine.prefillAvailableAt) + prefill;
        if (request.firstToken < sim_time {})
            request.firstToken = engine.prefillAvailableAt;
        schedule(engine.prefillAvailableAt + turn.responseTokens * m_options.engine.decodeTimePerToken, event_kind::Finish, id, request.run);
        if (!turn.isReturn || !m_results.isMeasured(m_now))
            return;
        ++m_results.returns;
        m_results.hits += cached > 0 ? 1 : 0;
        m_results.returnTokens += turn.contextTokens;
        m_results.savedTokens += cached;
        m_results.importedTokens += imported;
    }

    void finish(std::uint32_t id, std::uint32_t run)
    {
        const chat_turn& turn = m_turns[id];
        const simulated_request& request = m_requests[id];
        if (run != request.run)
            return;
        engine_model& engine = m_fleet.engine(request.server);
        engine.running.erase(id);
        m_fleet.removeLoad(request.server);
        engine.complete();
        engine.storePrefix(turn.chat, turn.contextTokens + turn.responseTokens, m_now);
        m_results.recordResponse(turn.arrival, request.firstToken - turn.arrival, request.attempts);
        startQueued(request.server);
    }

    void startQueued(std::uint32_t server)
    {
        engine_model& engine = m_fleet.engine(server);
        while (!engine.queued.empty() && engine.running.size() < m_options.engine.slots) {
            const std::uint32_t id = engine.queued.front();
            engine.queued.pop_front();
            if (m_now <= m_requests[id].deadline) {
                startRequest(id, m_now);
                continue;
            }
            m_fleet.removeLoad(server);
            m_results.recordFailure(m_turns[id].arrival, m_requests[id].attempts);
        }
    }

    // Running and queued requests are dispatched again once the failure is detected.
    void fail(std::uint32_t server, sim_time detection)
    {
        engine_model& engine = m_fleet.engine(server);
        std::vector<std::uint32_t> lost { engine.running.begin(), engine.running.end() };
        lost.insert(lost.end(), engine.queued.begin(), engine.queued.end());
        std::sort(lost.begin(), lost.end());
        engine.running.clear();
        engine.queued.clear();
        engine.isUp = false;
        m_fleet.recomputeLoads();
        for (const std::uint32_t id : lost) {
            simulated_request& request = m_requests[id];
            ++request.run;
            request.deadline = std::max(request.deadline, m_now + firstTokenDeadline);
            schedule(m_now + detection, event_kind::Dispatch, id);
        }
    }

    void applyChange(const fleet_change& change)
    {
        const auto server = static_cast<std::uint32_t>(change.server);
        engine_model& engine = m_fleet.engine(server);
        m_exportsDue = m_exportsDue || change.kind == change_kind::Leave || change.kind == change_kind::Return;
        switch (change.kind) {
        case change_kind::Leave:
            engine.isLeaving = true;
            return schedule(m_now + m_options.leaveDelay, event_kind::StopAdmitting, server);
        case change_kind::Lose:
            engine.isReachable = false;
            return fail(server, lossDetectionTime);
        case change_kind::Crash:
            return fail(server, crashDetectionTime);
        case change_kind::Return:
            return returnToService(server);
        }
    }

    void stopAdmitting(std::uint32_t server)
    {
        m_fleet.engine(server).isAdmitting = !m_fleet.engine(server).isLeaving;
        m_fleet.recomputeLoads();
    }

    void returnToService(std::uint32_t server)
    {
        engine_model& engine = m_fleet.engine(server);
        if (engine.isUp && engine.isReachable && engine.isAdmitting)
            return;
        engine.isUp = true;
        engine.isReachable = true;
        engine.isAdmitting = true;
        engine.isLeaving = false;
        engine.restart(m_now);
        m_fleet.recomputeLoads();
    }

    void tick()
    {
        m_fleet.tick();
        if (m_exportsDue)
            m_fleet.planExports(m_now);
        if (m_exportsDue && m_options.exportsPerSecond > 0 && !m_exporting)
            schedule(m_now, event_kind::ExportTick, 0);
        m_exportsDue = false;
        if (++m_ticks % 2 == 0)
            m_fleet.sampleSkew(m_now, m_results);
        schedule(m_now + fleet_state::tickLength, event_kind::Tick, 0);
    }

    void exportTick()
    {
        m_exporting = true;
        m_fleet.runExports(m_now, m_results);
        schedule(m_now + fleet_state::exportTickLength, event_kind::ExportTick, 0);
    }

    const fleet_layout& m_layout;
    const fleet_options& m_options;
    const scenario& m_events;
    const std::vector<chat_turn>& m_turns;
    measurements& m_results;
    fleet_state m_fleet;
    std::vector<simulated_request> m_requests;
    std::vector<decider> m_deciders;
    std::priority_queue<event> m_queue;
    sim_time m_now {};
    std::uint64_t m_order = 0;
    std::uint64_t m_ticks = 0;
    bool m_exportsDue = false;
    bool m_exporting = false;
};

} // namespace radishflow
