// Tests the end of the log while requests are still running.
#include "radishflow/Relay/relay_log.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

// The process ends while workers still log their requests: those lines are dropped, and no worker may use a logger that no
// longer exists.
BOOST_AUTO_TEST_CASE(requestsAreLoggedSafelyAfterTheLogHasStopped)
{
    constexpr int workers = 4;
    startLog("off");
    std::atomic<bool> isDone = false;
    std::atomic<int> logged = 0;
    std::vector<std::thread> threads;
    threads.reserve(workers);
    for (int worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&] {
            for (; !isDone; ++logged)
                logRequest({ .request = request_id { "r" }, .status = 503 });
        });
    }
    std::this_thread::sleep_for(50ms);
    stopLog();
    const int beforeStop = logged;
    std::this_thread::sleep_for(50ms);
    isDone = true;
    for (std::thread& thread : threads)
        thread.join();
    BOOST_TEST(logged > beforeStop);
}
