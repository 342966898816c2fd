// Tests that each call is counted once, with the outcome that its caller saw.
#include "radishflow/Metrics/daemon_metrics.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace radishflow;

struct outcome_case {
    std::string outcome;
    std::optional<refusal> refused;
    std::vector<answer_part> parts;

    friend std::ostream& operator<<(std::ostream& out, const outcome_case& value) { return out << value.outcome; }
};

static const std::vector<outcome_case> outcomeCases {
    { "done", {}, { { .data = "ab", .status = 200 }, { .data = "c", .finished = true, .status = 200 } } },
    { "not_run", refusal { .execution = execution_state::NotRun }, {} },
    { "unknown", refusal { .execution = execution_state::Unknown }, {} },
    { "not_run", {}, { { .broken = true, .refused = refusal { .execution = execution_state::NotRun } } } },
    { "broken", {}, { { .data = "ab", .status = 200 }, { .broken = true, .refused = refusal { .execution = execution_state::Unknown } } } },
    { "broken", {}, { { .data = "ab", .status = 200 } } },
};

static bool hasLine(const std::string& text, const std::string& line)
{
    return text.find('\n' + line + '\n') != std::string::npos;
}

BOOST_DATA_TEST_CASE(callIsCountedOnceWithItsOutcome, boost::unit_test::data::make(outcomeCases), example)
{
    daemon_metrics metrics;
    std::size_t bytes = 0;
    {
        std::size_t next = 0;
        const caller_answer answer = metrics.observe("records", [&] {
            return caller_answer { .refused = example.refused, .read = [&](std::uint64_t, std::chrono::milliseconds) { return example.parts[next++]; } };
        });
        for (std::size_t index = 0; index < example.parts.size(); ++index)
            bytes += answer.read(0, std::chrono::milliseconds { 0 }).data.size();
    }
    const std::string text = metrics.text({});
    BOOST_TEST(hasLine(text, "radishflow_requests_total{outcome=\"" + example.outcome + "\",service=\"records\"} 1"), text);
    BOOST_TEST(text.find("radishflow_requests_total{") == text.rfind("radishflow_requests_total{"));
    BOOST_TEST((bytes == 0 || hasLine(text, "radishflow_answer_bytes_total{service=\"records\"} " + std::to_string(bytes))), text);
    BOOST_TEST((bytes == 0 || hasLine(text, "radishflow_first_token_seconds_count{service=\"records\"} 1")), text);
    BOOST_TEST((bytes < 3 || hasLine(text, "radishflow_between_tokens_seconds_count{service=\"records\"} 1")), text);
}

BOOST_AUTO_TEST_CASE(readingsAppearInText)
{
    const daemon_metrics metrics;
    metrics_reading reading { .connections = 7, .configVersion = 12, .servers = { { .server = server_id { "e1" }, .running = 2, .limit = 9 } } };
    reading.control.sent[1].bytes = 500;
    reading.control.received[1].processorTime = std::chrono::milliseconds { 250 };
    const std::string text = metrics.text(reading);
    const std::string kind = nameOf(message_kind::Ping);
    for (const std::string& line : { std::string { "radishflow_caller_connections 7" }, std::string { "radishflow_config_version 12" }, std::string { "radishflow_server_running{server=\"e1\"} 2" }, std::string { "radishflow_server_limit{server=\"e1\"} 9" },
             "radishflow_control_bytes_total{kind=\"" + kind + "\",direction=\"sent\"} 500", "radishflow_control_processor_seconds_total{kind=\"" + kind + "\",direction=\"received\"} 0.25" })
        BOOST_TEST(hasLine(text, line), line << " in " << text);
}
