// Tests radishflow-emulator together with the test support: listening lines, calls and signals.
#include "Support/child_process.h"
#include "Support/http_call.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <sys/wait.h>

using namespace radishflow;
using std::chrono::milliseconds;

namespace {

struct ignore_broken_pipes {
    ignore_broken_pipes() { std::signal(SIGPIPE, SIG_IGN); }
};

const std::string program = RADISHFLOW_PROGRAMS "/radishflow-emulator";

child_options emulator(std::vector<std::string> arguments)
{
    arguments.emplace_back("--exit_with_parent");
    return { .program = program, .arguments = std::move(arguments) };
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(ignore_broken_pipes);

BOOST_DATA_TEST_CASE(everyRoleListensAndExitsOnSigterm, boost::unit_test::data::make({ "platform", "engine", "plain" }), role)
{
    child_process child { emulator({ std::string("--role=") + role, "--control=127.0.0.1:0" }) };
    BOOST_TEST(child.listeningLine().starts_with("listening 127.0.0.1:"));
    for (const std::string& address : { child.address(), child.address("control") })
        BOOST_TEST(httpCall({ .url = "http://" + address + "/healthz" }).status == 200);
    child.signal(SIGTERM);
    const std::optional<int> status = child.wait(milliseconds { 5000 });
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(WIFEXITED(*status));
    BOOST_TEST(WEXITSTATUS(*status) == 0);
}

BOOST_AUTO_TEST_CASE(proxyForwardsUntilConnectionsAreCut)
{
    const child_process plain { emulator({ "--role=plain" }) };
    const child_process proxy { emulator({ "--role=proxy", "--target=" + plain.address() }) };
    BOOST_TEST(httpCall({ .url = "http://" + proxy.address() + "/x" }).status == 200);
    BOOST_TEST(httpCall({ .method = "POST", .url = "http://" + proxy.address("control") + "/control/faults", .body = R"({"cut":true})" }).status == 200);
    BOOST_TEST(!httpCall({ .url = "http://" + proxy.address() + "/x" }).isConnected);
}

BOOST_AUTO_TEST_CASE(programThatFailsToStartHasNoListeningLine)
{
    child_options options = emulator({ "--role=none" });
    options.startTimeout = milliseconds { 2000 };
    options.errorFile = "/dev/null";
    child_process child { options };
    BOOST_TEST(child.listeningLine().empty());
    const std::optional<int> status = child.wait(milliseconds { 2000 });
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(WEXITSTATUS(*status) == 2);
}

BOOST_AUTO_TEST_CASE(callOfPausedProgramEndsAtTimeout)
{
    child_process child { emulator({ "--role=plain" }) };
    child.signal(SIGSTOP);
    const auto begin = std::chrono::steady_clock::now();
    const http_call_reply reply = httpCall({ .url = "http://" + child.address() + "/x", .timeout = milliseconds { 100 } });
    BOOST_TEST(reply.status == 0);
    BOOST_TEST(!reply.error.empty());
    BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds { 2000 }));
    BOOST_TEST(!child.wait(milliseconds { 10 }).has_value());
}
