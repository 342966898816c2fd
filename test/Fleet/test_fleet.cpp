// Implements test_fleet: starts the processes, lists them at the platform and publishes the service file.
#include "test_fleet.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>
#include <Poco/UUIDGenerator.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace radishflow {

using std::chrono::milliseconds;

static const std::string binaries { RADISHFLOW_BINARIES };

static std::string serviceFileText(const test_fleet_options& options)
{
    if (!options.serviceFile.empty())
        return options.serviceFile;
    std::ostringstream text;
    text << "services:\n"
         << "  assistant:\n    kind: model\n    models: [hydro-large]\n    cold_limit: " << options.coldLimit
         << "\n    server_limit: " << options.serverLimit << "\n    load_multiple: " << options.loadMultiple << "\n    first_token: { at_most: " << options.firstTokenAtMost << " }\n    request_timeout: 20s\n"
         << "  records:\n    kind: plain\n    cold_limit: 2\n    server_limit: 16\n    request_timeout: 10s\n"
         << "workspaces:\n  desk: { priority: 3, limit: 400, services: [assistant, records] }\n";
    return text.str();
}

std::unique_ptr<child_process> test_fleet::start(const std::string& program, std::vector<std::string> arguments, const std::string& name) const
{
    return std::make_unique<child_process>(child_options {
        .program = binaries + '/' + program,
        .arguments = std::move(arguments),
        .errorFile = m_folder + '/' + name + ".log",
    });
}

void test_fleet::startMember(fleet_member& member)
{
    const bool isDaemon = member.role == "daemon";
    member.process = start(isDaemon ? "radishflowd" : "radishflow-emulator", member.arguments, member.name);
    member.target = member.process->address(isDaemon ? "peer" : "");
    member.http = isDaemon ? member.process->address("http") : "";
}

test_fleet::test_fleet(const test_fleet_options& options)
{
    std::signal(SIGPIPE, SIG_IGN);
    m_folder = Poco::TemporaryFile::tempName();
    Poco::File { m_folder }.createDirectories();
    m_platform = start("radishflow-emulator", { "--role=platform", "--listen=127.0.0.1:0", "--control=127.0.0.1:0" }, "platform");
    m_platformAddress = m_platform->address();
    m_platformControl = m_platform->address("control");
    const auto zoneOf = [&](int index) { return options.zones[static_cast<std::size_t>(index) % options.zones.size()]; };
    const auto addBackend = [&](std::vector<fleet_member>& list, const std::string& role, const std::string& service, int index, const std::vector<std::string>& extra) {
        fleet_member member { .name = role + std::to_string(index), .role = "backend", .service = service, .zone = zoneOf(index) };
        member.arguments = { "--role=" + role, "--listen=127.0.0.1:0" };
        member.arguments.insert(member.arguments.end(), extra.begin(), extra.end());
        startMember(member);
        list.push_back(std::move(member));
    };
    for (int index = 0; index < options.engines; ++index)
        addBackend(m_engines, "engine", "assistant", index, options.engineArguments);
    for (int index = 0; index < options.plains; ++index)
        addBackend(m_plains, "plain", "records", index, options.plainArguments);
    for (int index = 0; index < options.daemons; ++index) {
        fleet_member member { .name = "d" + std::to_string(index), .role = "daemon", .zone = zoneOf(index) };
        member.arguments = { "--name=" + member.name, "--zone=" + member.zone, "--region=ra", "--platform=" + m_platformAddress, "--poll_interval_ms=100", "--term_ms=3000", "--report_lag_ms=1200", "--longest_request_seconds=20" };
        member.arguments.insert(member.arguments.end(), options.daemonArguments.begin(), options.daemonArguments.end());
        startMember(member);
        m_daemons.push_back(std::move(member));
    }
    listHosts();
    m_isReady = publish(options) == 0 && (!options.waitForOwners || waitForOwners());
}

test_fleet::~test_fleet()
{
    // End all processes before the folder is removed, because they write their logs into it.
    m_daemons.clear();
    m_engines.clear();
    m_plains.clear();
    m_platform.reset();
    Poco::File { m_folder }.remove(true);
}

int test_fleet::publish(const test_fleet_options& options) const
{
    const std::string path = m_folder + "/services.yaml";
    std::ofstream { path } << serviceFileText(options);
    return runTool({ "publish", path, "--wait=10" });
}

bool test_fleet::waitForOwners() const
{
    return waitUntil(milliseconds { 15000 }, [&] {
        for (const fleet_member& daemon : m_daemons) {
            const http_call_reply reply = httpCall({ .url = "http://" + daemon.http + "/debug/state" });
            if (reply.status != 200)
                return false;
            const auto state = Poco::JSON::Parser {}.parse(reply.body).extract<Poco::JSON::Object::Ptr>();
            const auto servers = state->getArray("servers");
            if (servers->size() != m_engines.size() + m_plains.size())
                return false;
            for (unsigned index = 0; index < servers->size(); ++index) {
                if (!servers->getObject(index)->getValue<bool>("takes_new_work"))
                    return false;
            }
            const auto daemons = state->getArray("daemons");
            if (daemons->size() < m_daemons.size())
                return false;
            for (unsigned index = 0; index < daemons->size(); ++index) {
                if (!daemons->getObject(index)->getValue<bool>("ready"))
                    return false;
            }
        }
        return true;
    });
}

void test_fleet::listHosts()
{
    Poco::JSON::Array list;
    for (const auto* members : { &m_daemons, &m_engines, &m_plains }) {
        for (const fleet_member& member : *members) {
            if (!member.isListed)
                continue;
            Poco::JSON::Array targets;
            targets.add(member.target);
            Poco::JSON::Object labels;
            labels.set("role", member.role);
            labels.set("name", member.name);
            labels.set("service", member.service);
            labels.set("host", member.name);
            labels.set("zone", member.zone);
            labels.set("region", "ra");
            labels.set("state", member.state);
            labels.set("http", member.http);
            Poco::JSON::Object entry;
            entry.set("targets", targets);
            entry.set("labels", labels);
            list.add(entry);
        }
    }
    std::ostringstream body;
    list.stringify(body);
    httpCall({ .method = "PUT", .url = "http://" + m_platformControl + "/control/hosts", .body = body.str() });
}

void test_fleet::restartDaemon(std::size_t index)
{
    startMember(m_daemons[index]);
    listHosts();
}

void test_fleet::setFaults(const std::string& address, const std::string& json)
{
    httpCall({ .method = "POST", .url = "http://" + address + "/control/faults", .body = json });
}

std::string test_fleet::record(const std::string& address)
{
    return httpCall({ .url = "http://" + address + "/control/record" }).body;
}

int test_fleet::runTool(const std::vector<std::string>& arguments, std::string* output, std::string* errors) const
{
    std::vector<std::string> all = arguments;
    all.push_back("--platform=" + m_platformAddress);
    Poco::Pipe out;
    Poco::Pipe err;
    Poco::ProcessHandle handle = Poco::Process::launch(binaries + "/radishflow", all, nullptr, &out, errors ? &err : nullptr);
    Poco::PipeInputStream stream { out };
    std::string text;
    Poco::StreamCopier::copyToString(stream, text);
    if (output)
        *output = text;
    if (errors) {
        // The error output is short enough for the pipe's buffer, so the tool doesn't block while its standard output is read.
        Poco::PipeInputStream errorStream { err };
        errors->clear();
        Poco::StreamCopier::copyToString(errorStream, *errors);
    }
    return handle.wait();
}

std::string chatBody(const std::string& prompt, int tokens, bool isStream)
{
    return R"({"model":"hydro-large","messages":[{"role":"user","content":")" + prompt + R"("}],"max_tokens":)" + std::to_string(tokens) + (isStream ? R"(,"stream":true})" : "}");
}

http_call_reply test_fleet::chat(const fleet_member& daemon, const std::string& chatId, const std::string& prompt, int tokens, const std::map<std::string, std::string>& headers) const
{
    std::map<std::string, std::string> all { { "X-Workspace", "desk" }, { "X-Chat", chatId }, { "Content-Type", "application/json" } };
    all.insert(headers.begin(), headers.end());
    return httpCall({ .method = "POST", .url = "http://" + daemon.http + "/v1/chat/completions", .headers = all, .body = chatBody(prompt, tokens, false), .timeout = milliseconds { 20000 } });
}

http_call_reply test_fleet::order(const fleet_member& daemon, const std::string& key, const std::string& body) const
{
    return httpCall({ .method = "POST", .url = "http://" + daemon.http + "/services/records/orders", .headers = { { "X-Workspace", "desk" }, { "Idempotency-Key", key }, { "Content-Type", "application/json" } }, .body = body, .timeout = milliseconds { 15000 } });
}

static std::string contentOfChoice(const Poco::JSON::Object& response, const char* member)
{
    const auto choices = response.getArray("choices");
    if (!choices || choices->empty())
        return {};
    const auto part = choices->getObject(0)->getObject(member);
    return part ? part->optValue<std::string>("content", "") : std::string {};
}

std::string contentOf(const std::string& chatResponse)
{
    try {
        if (chatResponse.starts_with("{"))
            return contentOfChoice(*Poco::JSON::Parser {}.parse(chatResponse).extract<Poco::JSON::Object::Ptr>(), "message");
        std::istringstream lines { chatResponse };
        std::string line;
        std::string content;
        while (std::getline(lines, line)) {
            if (line == "data: [DONE]")
                return content;
            if (line.starts_with("data: {"))
                content += contentOfChoice(*Poco::JSON::Parser {}.parse(line.substr(6)).extract<Poco::JSON::Object::Ptr>(), "delta");
        }
    } catch (const Poco::Exception&) {
        return {};
    }
    return {};
}

} // namespace radishflow
