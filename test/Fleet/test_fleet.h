// Declares test_fleet, a small deployment on loopback for tests: platform, backend servers and daemons.
#pragma once

#include "child_process.h"
#include "http_call.h"
#include "wait_until.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishflow {

struct test_fleet_options {
    std::vector<std::string> zones { "za", "zb", "zc" };
    int daemons = 3;
    int engines = 3;
    int plains = 1;
    std::vector<std::string> engineArguments;
    std::vector<std::string> plainArguments;
    std::vector<std::string> daemonArguments;
    std::string serviceFile; ///< Service file to publish; empty for the default one of the tests.
    int coldLimit = 2; ///< For the default service file, as are the three following.
    int serverLimit = 16;
    std::string loadMultiple = "1.5";
    std::string firstTokenAtMost = "2s"; ///< Limit for a warm engine.
    bool waitForOwners = true; ///< Whether to wait until every backend server has an owner.
};

/// A daemon or backend server with its entry in the host list.
struct fleet_member {
    std::string name;
    std::string role;
    std::string service;
    std::string zone;
    std::unique_ptr<child_process> process;
    std::string target;
    std::string http;
    std::string state = "live";
    bool isListed = true;
    std::vector<std::string> arguments; ///< Arguments for a restart.
};

/// Starts all processes, publishes a service file and waits until requests can be served. Not thread-safe.
class test_fleet {
public:
    explicit test_fleet(const test_fleet_options&);
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    bool isReady() const { return m_isReady; }
    /// Returns the platform's control address, which accepts changes of faults even while the platform refuses all other calls.
    const std::string& platformControl() const { return m_platformControl; }
    child_process& platform() { return *m_platform; }
    std::vector<fleet_member>& daemons() { return m_daemons; }
    std::vector<fleet_member>& engines() { return m_engines; }
    std::vector<fleet_member>& plains() { return m_plains; }

    /// Sends the host list, without the processes whose isListed is false, to the platform.
    void listHosts();

    /// Starts a daemon again under its name, on new ports, and updates the host list.
    void restartDaemon(std::size_t index);

    /// Sets the faults of a stand-in, given as JSON.
    static void setFaults(const std::string& address, const std::string& json);

    /// Returns the counters and events that a stand-in has recorded, as JSON.
    static std::string record(const std::string& address);

    /// Runs the operators' tool and returns its exit code. Thread-safe.
    int runTool(const std::vector<std::string>& arguments, std::string* output = nullptr, std::string* errors = nullptr) const;

    /// Publishes the service file with these limits and waits up to 10 s until it is in force; returns the tool's exit code.
    int publish(const test_fleet_options&) const;

    /// Sends a chat request without streaming to a daemon.
    http_call_reply chat(const fleet_member& daemon, const std::string& chatId, const std::string& prompt, int tokens, const std::map<std::string, std::string>& headers = {}) const;

    /// Sends a work order to a daemon.
    http_call_reply order(const fleet_member& daemon, const std::string& key, const std::string& body) const;

private:
    void startMember(fleet_member&);
    std::unique_ptr<child_process> start(const std::string& program, std::vector<std::string> arguments, const std::string& name) const;
    bool waitForOwners() const;

    std::string m_folder;
    std::unique_ptr<child_process> m_platform;
    std::string m_platformAddress;
    std::string m_platformControl;
    std::vector<fleet_member> m_engines;
    std::vector<fleet_member> m_plains;
    std::vector<fleet_member> m_daemons;
    bool m_isReady = false;
};

/// Returns the content of a JSON chat response or of a stream's events; empty when the response is incomplete.
std::string contentOf(const std::string& chatResponse);

/// Returns the JSON body of a chat request.
std::string chatBody(const std::string& prompt, int tokens, bool isStream);

} // namespace radishflow
