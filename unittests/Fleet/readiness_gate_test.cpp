// Tests when a daemon accepts callers.
#include "radishflow/Fleet/readiness_gate.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct gate_step {
    std::chrono::milliseconds at;
    table_state state;
    bool isReady;
};

struct gate_case {
    const char* name;
    std::vector<gate_step> steps;

    friend std::ostream& operator<<(std::ostream& out, const gate_case& test) { return out << test.name; }
};

constexpr table_state none {};
constexpr table_state configOnly { .isConfigCurrent = true };
constexpr table_state serversOnly { .areServersCurrent = true };
constexpr table_state both { .isConfigCurrent = true, .areServersCurrent = true };

const gate_case gateCases[] {
    { "a process that starts does not wait for later changes", { { 0ms, none, false }, { 1s, configOnly, true } } },
    { "a known change does not end readiness", { { 0ms, both, true }, { 1s, configOnly, true }, { 60s, configOnly, true } } },
    { "an old configuration ends readiness", { { 0ms, both, true }, { 1s, serversOnly, false } } },
    { "the return waits for the servers", { { 0ms, both, true }, { 4s, none, false }, { 10s, configOnly, false }, { 11s, configOnly, false }, { 11500ms, both, true } } },
    { "the return waits only for a limited time", { { 0ms, both, true }, { 4s, none, false }, { 10s, configOnly, false }, { 12s, configOnly, true } } },
    { "each return waits anew", { { 0ms, both, true }, { 4s, none, false }, { 10s, configOnly, false }, { 11s, none, false }, { 12s, configOnly, false }, { 14s, configOnly, true } } },
    { "the servers alone do not suffice", { { 0ms, both, true }, { 4s, none, false }, { 10s, serversOnly, false }, { 11s, both, true } } },
};

} // namespace

BOOST_DATA_TEST_CASE(daemonAcceptsCallersOnceItKnowsConfigurationAndServers, boost::unit_test::data::make(gateCases), test)
{
    manual_clock clock;
    const time_point start = clock.now();
    readiness_gate<manual_clock> gate { clock, { .maxWaitForServers = 2s } };
    for (const gate_step& step : test.steps) {
        clock.advance(start + step.at - clock.now());
        BOOST_TEST_CONTEXT("at " << step.at.count() << " ms")
        BOOST_TEST(gate.evaluate(step.state) == step.isReady);
    }
}
