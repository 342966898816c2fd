// Declares the discrete-event simulation of one policy on one trace.
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

/// Runs the requests of a trace through deciders that use the policy. `makePolicy(decider)` makes one a decider.
template <placement_policy Policy>
class fleet_simulation {
public:
    template <typename MakePolicy>
    fleet_simulation(const fleet_layout& layout, const fleet_options& options, const scenario& events,
        const std::vector<chat_turn>& turns, MakePolicy&& makePolicy, measurements& figures)
        : m_layout(layout)
        , m_options(options)
        , m_events(events)
        , m_turns(turns)
        , m_figures(figures)
        , m_fleet(layout, options)
        , m_requests(turns.size())
    {
        for (std::size_t i = 0; i < options.deciders; ++i) {
            const double place = static_cast<double>(mixBits(options.seed * 1000 + i) % 1000) / 1000;
            m_deciders.push_back({ makePolicy(i),
                options.shortestViewDelay + place * (options.longestViewDelay - options.shortestViewDelay),
                std::vector<sim_time>(layout.servers) });
        }
    }

    /// Runs until all that arrived in this time is answered or given up.
    void run(sim_time length)
    {
        const sim_time end = length + longestAnswer;
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
    static constexpr sim_time longestAnswer { 150 };
    static constexpr sim_time refusalTrip { 0.003 };
    static constexpr sim_time farRefusalTrip { 0.06 };
    static constexpr sim_time connectTimeout { 0.3 };
    static constexpr sim_time deadServerMemory { 3 };
    static constexpr sim_time lossDetection { 1 }; ///< Until a cut stream or a lost daemon is noticed.
    static constexpr sim_time crashDetection { 0.05 };
    static constexpr sim_time firstBackoff { 0.1 };
    static constexpr sim_time restartAfterFall { 10 };

    using event_kind = simulation_event_kind;
    using event = simulation_event;

    struct decider {
        Policy policy;
        sim_time viewDelay;
        std::vector<sim_time> deadUntil;
    };

    void schedule(sim_time at, event_kind kind, std::uint32_t subject, std::uint32_t run = 0)
    {
        m_queue.push({ at, m_order++, kind, subject, run });
    }

    void handle(const event& next)
    {
        switch (next.kind) {
        case event_kind::Arrival:
            m_figures.countArrival(m_now);
            m_requests[next.subject].deadline = m_now + firstTokenDeadline;
            return dispatch(next.subject);
        case event_kind::Dispatch:
            return dispatch(next.subject);
        case event_kind::Finish:
            return finish(next.subject, next.run);
        case event_kind::Change:
            return change(m_events.changes[next.subject]);
        case event_kind::StopAdmitting:
            return stopAdmitting(next.subject);
        case event_kind::ReturnFallen:
            return bringBack(next.subject);
        case event_kind::Tick:
            return tick();
        case event_kind::ExportTick:
            return exportTick();
        }
    }

    bool isLost(std::size_t deciderIndex) const
    {
        if (m_events.lostZone < 0 || m_options.deciders < m_layout.zones)
            return false;
        return m_now >= m_events.eventAt && m_now < m_events.eventEnd
            && m_layout.zoneOf(deciderIndex) == static_cast<std::size_t>(m_events.lostZone);
    }

    // Callers keep their daemon; when it is lost they go to the next of its region.
    std::size_t deciderOf(std::uint64_t chat) const
    {
        std::size_t index = mixBits(chat) % m_deciders.size();
        while (isLost(index))
            index = (index + m_layout.regions) % m_deciders.size();
        return index;
    }

    void dispatch(std::uint32_t id)
    {
        const chat_turn& turn = m_turns[id];
        simulated_request& request = m_requests[id];
        const bool isFirst = request.attempts == 0 && request.backoffs == 0;
        if (isFirst && isLost(mixBits(turn.chat) % m_deciders.size())) {
            ++request.backoffs;
            return schedule(m_now + lossDetection, event_kind::Dispatch, id);
        }
        const std::size_t index = deciderOf(turn.chat);
        walk(id, m_deciders[index], { .chatHash = turn.chat, .region = regionName(m_layout.regionOf(index)), .tailSeed = mixBits(id * 64U + request.backoffs + 1U) });
    }

    void walk(std::uint32_t id, decider& from, const placement_request& wanted)
    {
        simulated_request& request = m_requests[id];
        const std::span<const placement_server> view = m_fleet.view(from.viewDelay);
        server_ranking ranking = from.policy.rank(wanted, view, m_options.mostAttempts);
        // Without asking, every rank is offered the request in turn.
        probe_sequence walk { std::move(ranking), { .affinityRanks = m_options.asksHomes ? m_options.affinityRanks : 0 } };
        sim_time spent {};
        while (const auto step = walk.next()) {
            if (from.deadUntil[step->server] > m_now) {
                walk.recordRefusal({});
                continue;
            }
            ++request.attempts;
            engine_model& engine = m_fleet.engine(step->server);
            if (!engine.isReachable) {
                from.deadUntil[step->server] = m_now + deadServerMemory;
                return schedule(m_now + connectTimeout, event_kind::Dispatch, id);
            }
            const bool hasRoom = m_fleet.admits(step->server);
            const prefix_state held = engine.sketch(m_now).stateOf(wanted.chatHash);
            if (hasRoom && acceptsAttempt(*step, held)) {
                request.holder = m_options.importsOnSpill ? step->holder : std::nullopt;
                return admit(id, step->server, spent);
            }
            walk.recordRefusal({ .hasRoom = hasRoom, .load = m_fleet.loadShare(step->server), .held = held });
            spent += view[step->server].region == wanted.region ? refusalTrip : farRefusalTrip;
        }
        retryLater(id);
    }

    void retryLater(std::uint32_t id)
    {
        simulated_request& request = m_requests[id];
        const sim_time pause = firstBackoff * static_cast<double>(1U << std::min(request.backoffs, 4U));
        ++request.backoffs;
        if (m_now + pause > request.deadline)
            return m_figures.countFailure(m_turns[id].arrival, request.attempts);
        schedule(m_now + pause, event_kind::Dispatch, id);
    }

    void admit(std::uint32_t id, std::uint32_t server, sim_time spent)
    {
        engine_model& engine = m_fleet.engine(server);
        m_requests[id].server = server;
        const bool mustWait = engine.running.size() >= m_options.engine.slots;
        m_fleet.addLoad(server);
        if (!mustWait)
            begin(id, m_now + spent);
        if (mustWait)
            engine.waiting.push_back(id);
        if (!m_figures.counts(m_now))
            return;
        m_figures.overSlots += mustWait ? 1 : 0;
        m_figures.overAtAdmission += m_fleet.isAboveBound(server) ? 1 : 0;
        if (engine.isCold() && static_cast<double>(engine.load()) > engine.allowance) {
            ++m_figures.coldExceeded;
            schedule(m_now + restartAfterFall, event_kind::ReturnFallen, server);
            fail(server, crashDetection);
        }
    }

    // Tokens that the holder has beyond those that the engine has itself.
    std::uint32_t importable(std::uint32_t id, std::uint32_t cached)
    {
        const simulated_request& request = m_requests[id];
        if (!request.holder || !m_fleet.engine(*request.holder).isUp)
            return 0;
        const std::uint32_t held = std::min(m_fleet.engine(*request.holder).usePrefix(m_turns[id].chat), m_turns[id].contextTokens);
        return held - std::min(held, cached);
    }

    void begin(std::uint32_t id, sim_time start)
    {
        const chat_turn& turn = m_turns[id];
        simulated_request& request = m_requests[id];
        engine_model& engine = m_fleet.engine(request.server);
        engine.running.insert(id);
        const std::uint32_t cached = std::min(engine.usePrefix(turn.chat), turn.contextTokens);
        const std::uint32_t imported = importable(id, cached);
        start += imported * m_options.engine.importPerToken;
        const sim_time prefill { (turn.contextTokens - cached - imported) / m_options.engine.prefillTokensPerSecond };
        engine.prefillFree = std::max(start, engine.prefillFree) + prefill;
        if (request.firstToken < sim_time {})
            request.firstToken = engine.prefillFree;
        schedule(engine.prefillFree + turn.answerTokens * m_options.engine.perToken, event_kind::Finish, id, request.run);
        if (!turn.isReturn || !m_figures.counts(m_now))
            return;
        ++m_figures.returns;
        m_figures.hits += cached > 0 ? 1 : 0;
        m_figures.returnTokens += turn.contextTokens;
        m_figures.savedTokens += cached;
        m_figures.importedTokens += imported;
    }

    void finish(std::uint32_t id, std::uint32_t run)
    {
        const chat_turn& turn = m_turns[id];
        const simulated_request& request = m_requests[id];
        if (run != request.run)
            return;
        engine_model& engine = m_fleet.engine(request.server);
        engine.running.erase(id);
        m_fleet.dropLoad(request.server);
        engine.complete();
        engine.storePrefix(turn.chat, turn.contextTokens + turn.answerTokens, m_now);
        m_figures.countAnswer(turn.arrival, request.firstToken - turn.arrival, request.attempts);
        beginWaiting(request.server);
    }

    void beginWaiting(std::uint32_t server)
    {
        engine_model& engine = m_fleet.engine(server);
        while (!engine.waiting.empty() && engine.running.size() < m_options.engine.slots) {
            const std::uint32_t id = engine.waiting.front();
            engine.waiting.pop_front();
            if (m_now <= m_requests[id].deadline) {
                begin(id, m_now);
                continue;
            }
            m_fleet.dropLoad(server);
            m_figures.countFailure(m_turns[id].arrival, m_requests[id].attempts);
        }
    }

    // Running work is dispatched again after the time that it takes to notice.
    void fail(std::uint32_t server, sim_time detection)
    {
        engine_model& engine = m_fleet.engine(server);
        std::vector<std::uint32_t> lost { engine.running.begin(), engine.running.end() };
        lost.insert(lost.end(), engine.waiting.begin(), engine.waiting.end());
        std::sort(lost.begin(), lost.end());
        engine.running.clear();
        engine.waiting.clear();
        engine.isUp = false;
        m_fleet.recount();
        for (const std::uint32_t id : lost) {
            simulated_request& request = m_requests[id];
            ++request.run;
            request.deadline = std::max(request.deadline, m_now + firstTokenDeadline);
            schedule(m_now + detection, event_kind::Dispatch, id);
        }
    }

    void change(const fleet_change& what)
    {
        const auto server = static_cast<std::uint32_t>(what.server);
        engine_model& engine = m_fleet.engine(server);
        m_exportsDue = m_exportsDue || what.kind == change_kind::Leave || what.kind == change_kind::Return;
        switch (what.kind) {
        case change_kind::Leave:
            engine.isLeaving = true;
            return schedule(m_now + m_options.leaveLead, event_kind::StopAdmitting, server);
        case change_kind::Lose:
            engine.isReachable = false;
            return fail(server, lossDetection);
        case change_kind::Crash:
            return fail(server, crashDetection);
        case change_kind::Return:
            return bringBack(server);
        }
    }

    void stopAdmitting(std::uint32_t server)
    {
        m_fleet.engine(server).isAdmitting = !m_fleet.engine(server).isLeaving;
        m_fleet.recount();
    }

    void bringBack(std::uint32_t server)
    {
        engine_model& engine = m_fleet.engine(server);
        if (engine.isUp && engine.isReachable && engine.isAdmitting)
            return;
        engine.isUp = true;
        engine.isReachable = true;
        engine.isAdmitting = true;
        engine.isLeaving = false;
        engine.restart(m_now);
        m_fleet.recount();
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
            m_fleet.sampleSkew(m_now, m_figures);
        schedule(m_now + fleet_state::tickLength, event_kind::Tick, 0);
    }

    void exportTick()
    {
        m_exporting = true;
        m_fleet.exportSome(m_now, m_figures);
        schedule(m_now + fleet_state::exportTickLength, event_kind::ExportTick, 0);
    }

    const fleet_layout& m_layout;
    const fleet_options& m_options;
    const scenario& m_events;
    const std::vector<chat_turn>& m_turns;
    measurements& m_figures;
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
