// Tests what service files are read as, and that every problem is reported with its place.
#include "radishflow/Config/parse_service_files.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
namespace data = boost::unit_test::data;

static const char* const goodServices = R"(services:
  assistant:
    kind: model
    models: [hydro-large, hydro-small]
    cold_limit: 2
    server_limit: 32
    load_multiple: 1.25
    request_timeout: 90s
    first_token: { at_least: 20ms, at_most: 1500ms }
    checks_fencing: true
  records:
    kind: plain
    max_body: 64KiB
    repeatable:
      - { method: POST, path: /search, repeatable: true }
      - { method: GET, path: /export, repeatable: false }
)";

static const char* const goodWorkspaces = R"(workspaces:
  district-7: { priority: 1, limit: 40, weight: 5, services: [records, assistant] }
  planning: { services: [assistant] }
)";

static std::vector<config_problem> problemsOf(const std::vector<named_text>& files)
{
    const parsed_config parsed = parseServiceFiles(files);
    if (const auto* problems = std::get_if<std::vector<config_problem>>(&parsed))
        return *problems;
    return {};
}

static fleet_config goodConfig()
{
    const parsed_config parsed = parseServiceFiles({ { .name = "a", .text = goodServices }, { .name = "b", .text = goodWorkspaces } });
    BOOST_REQUIRE(std::holds_alternative<fleet_config>(parsed));
    return std::get<fleet_config>(parsed);
}

BOOST_AUTO_TEST_CASE(readsEverySetting)
{
    const fleet_config config = goodConfig();
    const service_settings* assistant = findServiceOfModel(config, model_id { "hydro-small" });
    BOOST_REQUIRE(assistant);
    const service_settings expected {
        .id = service_id { "assistant" },
        .kind = service_kind::Model,
        .models = { model_id { "hydro-large" }, model_id { "hydro-small" } },
        .coldLimit = 2,
        .serverLimit = 32,
        .loadMultiple = 1.25,
        .requestTimeout = std::chrono::seconds { 90 },
        .firstTokenRange = { .atLeast = std::chrono::milliseconds { 20 }, .atMost = std::chrono::milliseconds { 1500 } },
        .checksFencing = true,
    };
    BOOST_TEST((*assistant == expected));
    const workspace_settings* workspace = findWorkspace(config, workspace_id { "district-7" });
    BOOST_REQUIRE(workspace);
    BOOST_TEST(workspace->priority == 1);
    BOOST_TEST(workspace->limit == 40);
    BOOST_TEST(workspace->weight == 5);
    BOOST_TEST(mayCall(*workspace, service_id { "records" }));
    BOOST_TEST(!mayCall(*findWorkspace(config, workspace_id { "planning" }), service_id { "records" }));
    BOOST_TEST(findService(config, service_id { "records" })->maxBodyBytes == 64 * 1024);
}

BOOST_AUTO_TEST_CASE(canonicalTextReadsBackAndIsOneForEqualSettings)
{
    const fleet_config config = goodConfig();
    const std::string text = serialize(config);
    const parsed_config again = parseServiceFiles({ { .name = "canonical", .text = text } });
    BOOST_REQUIRE(std::holds_alternative<fleet_config>(again));
    BOOST_TEST((std::get<fleet_config>(again) == config));
    BOOST_TEST(serialize(std::get<fleet_config>(again)) == text);
}

namespace {

struct repeat_case {
    const char* method;
    const char* path;
    bool isRepeatable;
};

std::ostream& operator<<(std::ostream& out, const repeat_case& sample)
{
    return out << sample.method << ' ' << sample.path;
}

/// A file with one fault, and where and how it is reported.
struct fault_case {
    const char* text;
    int line;
    const char* key;
    const char* reason; ///< A part of the reason.
};

std::ostream& operator<<(std::ostream& out, const fault_case& sample)
{
    return out << sample.key << ": " << sample.reason;
}

} // namespace

static const std::vector<repeat_case> repeatCases {
    { .method = "GET", .path = "/gauges/4", .isRepeatable = true },
    { .method = "HEAD", .path = "/gauges", .isRepeatable = true },
    { .method = "POST", .path = "/orders", .isRepeatable = false },
    { .method = "DELETE", .path = "/orders/1", .isRepeatable = false },
    { .method = "POST", .path = "/search", .isRepeatable = true },
    { .method = "POST", .path = "/search/deep", .isRepeatable = true },
    { .method = "POST", .path = "/search?q=1", .isRepeatable = true },
    { .method = "POST", .path = "/searches", .isRepeatable = false },
    { .method = "GET", .path = "/export/all", .isRepeatable = false },
};

BOOST_DATA_TEST_CASE(rulesDecideWhatIsRepeatable, data::make(repeatCases), sample)
{
    const fleet_config config = goodConfig();
    BOOST_TEST(isRepeatable(*findService(config, service_id { "records" }), sample.method, sample.path) == sample.isRepeatable);
    BOOST_TEST(isRepeatable(*findService(config, service_id { "assistant" }), sample.method, sample.path));
}

static const std::vector<fault_case> faultCases {
    { .text = "services: [", .line = 1, .key = "", .reason = "" },
    { .text = "- a", .line = 1, .key = "", .reason = "a mapping" },
    { .text = "servces: {}", .line = 1, .key = "servces", .reason = "unknown key" },
    { .text = "services:\n  a: { kind: plain, cold_limt: 3 }", .line = 2, .key = "services.a.cold_limt", .reason = "unknown key" },
    { .text = "services:\n  a: { kind: fast }", .line = 2, .key = "services.a.kind", .reason = "'fast'" },
    { .text = "services:\n  a: { cold_limit: 1 }", .line = 2, .key = "services.a.kind", .reason = "required" },
    { .text = "services:\n  a:\n    kind: plain\n    cold_limit: 0", .line = 4, .key = "services.a.cold_limit", .reason = "from 1 to" },
    { .text = "services:\n  a:\n    kind: plain\n    server_limit: 8.5", .line = 4, .key = "services.a.server_limit", .reason = "whole number" },
    { .text = "services:\n  a:\n    kind: plain\n    server_limit: 4\n    cold_limit: 5", .line = 5, .key = "services.a.cold_limit", .reason = "exceed" },
    { .text = "services:\n  a: { kind: plain, load_multiple: 1.0 }", .line = 2, .key = "services.a.load_multiple", .reason = "from 1.1" },
    { .text = "services:\n  a: { kind: plain, load_multiple: nan }", .line = 2, .key = "services.a.load_multiple", .reason = "nan" },
    { .text = "services:\n  a: { kind: plain, request_timeout: 30 }", .line = 2, .key = "services.a.request_timeout", .reason = "with ms" },
    { .text = "services:\n  a: { kind: plain, request_timeout: 30 s }", .line = 2, .key = "services.a.request_timeout", .reason = "'30 s'" },
    { .text = "services:\n  a: { kind: plain, request_timeout: 3h }", .line = 2, .key = "services.a.request_timeout", .reason = "to 2h" },
    { .text = "services:\n  a: { kind: plain, max_body: 64KB }", .line = 2, .key = "services.a.max_body", .reason = "64KB" },
    { .text = "services:\n  a: { kind: plain, max_body: 9999999999999MiB }", .line = 2, .key = "services.a.max_body", .reason = "64MiB" },
    { .text = "services:\n  a: { kind: plain, checks_fencing: yes }", .line = 2, .key = "services.a.checks_fencing", .reason = "true or false" },
    { .text = "services:\n  a: { kind: plain, models: [m] }", .line = 2, .key = "services.a.models", .reason = "only model" },
    { .text = "services:\n  a: { kind: model }", .line = 2, .key = "services.a.models", .reason = "names its models" },
    { .text = "services:\n  a: { kind: model, models: m }", .line = 2, .key = "services.a.models", .reason = "a list" },
    { .text = "services:\n  a: { kind: model, models: [m, m] }", .line = 2, .key = "services.a.models", .reason = "stands twice" },
    { .text = "services:\n  a: { kind: model, models: [m] }\n  b: { kind: model, models: [m] }", .line = 3, .key = "services.b.models", .reason = "'a' already" },
    { .text = "services:\n  a:\n    kind: model\n    models: [m]\n    first_token: { at_least: 2s, at_most: 2s }", .line = 5, .key = "services.a.first_token", .reason = "shorter" },
    { .text = "services:\n  a:\n    kind: plain\n    repeatable:\n      - { method: post, path: /x, repeatable: true }", .line = 5, .key = "services.a.repeatable.method", .reason = "'post'" },
    { .text = "services:\n  a:\n    kind: plain\n    repeatable:\n      - { method: PUT, path: x, repeatable: true }", .line = 5, .key = "services.a.repeatable.path", .reason = "'/'" },
    { .text = "services:\n  a:\n    kind: plain\n    repeatable:\n      - { method: PUT, path: /x }", .line = 5, .key = "services.a.repeatable.repeatable", .reason = "required" },
    { .text = "services:\n  a: { kind: plain }\n  a: { kind: plain }", .line = 3, .key = "services.a", .reason = "stands twice" },
    { .text = "services:\n  A/b: { kind: plain }", .line = 2, .key = "services.A/b", .reason = "a name" },
    { .text = "services:\n  a: { kind: plain }\nworkspaces:\n  w: { services: [a, b] }", .line = 4, .key = "workspaces.w.services", .reason = "'b' is not declared" },
    { .text = "services:\n  a: { kind: plain }\nworkspaces:\n  w: { priority: 8, services: [a] }", .line = 4, .key = "workspaces.w.priority", .reason = "from 0 to 7" },
    { .text = "workspaces:\n  w: { priority: 2 }", .line = 2, .key = "workspaces.w.services", .reason = "names the services" },
    { .text = "workspaces:\n  w: 5", .line = 2, .key = "workspaces.w", .reason = "a mapping" },
};

BOOST_DATA_TEST_CASE(reportsOneFaultWithItsPlace, data::make(faultCases), sample)
{
    const std::vector<config_problem> problems = problemsOf({ { .name = "f.yaml", .text = sample.text } });
    BOOST_REQUIRE(!problems.empty());
    const config_problem& first = problems.front();
    BOOST_TEST(first.file == "f.yaml");
    BOOST_TEST(first.line == sample.line);
    BOOST_TEST(first.key == sample.key);
    BOOST_TEST(first.reason.find(sample.reason) != std::string::npos, describe(first));
}

BOOST_AUTO_TEST_CASE(reportsEveryProblemOfASetAndAcceptsNothing)
{
    const std::vector<config_problem> problems = problemsOf({
        { .name = "b.yaml", .text = "services:\n  a: { kind: plain, cold_limit: 0 }\n  c: { kind: plain, speed: 1 }" },
        { .name = "a.yaml", .text = goodServices },
        { .name = "c.yaml", .text = "services: {\n" },
        { .name = "d.yaml", .text = "services:\n  records: { kind: plain }" },
    });
    std::vector<std::string> lines;
    lines.reserve(problems.size());
    for (const config_problem& problem : problems)
        lines.push_back(problem.file + ":" + std::to_string(problem.line) + ":" + problem.key);
    const std::vector<std::string> expected { "b.yaml:2:services.a.cold_limit", "b.yaml:3:services.c.speed", "c.yaml:2:", "d.yaml:2:services.records" };
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
    BOOST_TEST(describe(problems.back()) == "d.yaml:2: services.records: is declared at a.yaml:11 already");
}
