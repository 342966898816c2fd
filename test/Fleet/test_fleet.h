// Declares test_fleet, a whole small deployment on loopback for tests: platform, backend servers, daemons.
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
    std::string serviceFile; ///< Text to publish; empty takes the tests' own.
    int coldLimit = 2; ///< For the tests' own service file.
    int serverLimit = 16;
    std::string loadMultiple = "1.5";
    std::string firstTokenAtMost = "2s"; ///< Of a warm engine.
    bool waitForOwners = true; ///< Wait until every backend server has an owner.
};

/// One listed process with its place.
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
    std::vector<std::string> arguments; ///< To start it again.
};

/// Starts everything, publishes a service file and waits until callers can be served. Not thread-safe.
class test_fleet {
public:
    explicit test_fleet(const test_fleet_options&);
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    bool isReady() const { return m_isReady; }
    /// Where the platform's faults are switched, also while it refuses all else.
    const std::string& platformControl() const { return m_platformControl; }
    child_process& platform() { return *m_platform; }
    std::vector<fleet_member>& daemons() { return m_daemons; }
    std::vector<fleet_member>& engines() { return m_engines; }
    std::vector<fleet_member>& plains() { return m_plains; }

    /// Sends the host list to the platform; processes that are not listed are left out.
    void listHosts();

    /// Starts a daemon of that name anew, on new ports, and lists it.
    void restartDaemon(std::size_t index);

    /// Switches faults of a stand-in.
    static void setFaults(const std::string& address, const std::string& json);

    /// Returns a stand-in's own record.
    static std::string record(const std::string& address);

    /// Runs the operators' tool and returns its exit code. May run on several threads at once.
    int runTool(const std::vector<std::string>& arguments, std::string* output = nullptr, std::string* errors = nullptr) const;

    /// Publishes the service file with these limits and waits until it is in force.
    int publish(const test_fleet_options&) const;

    /// A model call through a daemon; `stream` false.
    http_call_reply chat(const fleet_member& daemon, const std::string& chatId, const std::string& prompt, int tokens, const std::map<std::string, std::string>& headers = {}) const;

    /// A work order through a daemon.
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

/// The content of a plain JSON chat answer, or of a stream's events; empty when it is not whole.
std::string contentOf(const std::string& chatAnswer);

/// The JSON body of a chat request.
std::string chatBody(const std::string& prompt, int tokens, bool isStream);

} // namespace radishflow
