// Calls a stand-in that runs in the test's own process.
#pragma once

#include "Support/http_call.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>

namespace radishflow {

struct emulator_caller {
    std::uint16_t port = 0;

    http_call_request request(const std::string& method, const std::string& path, const std::string& body = {},
        const std::map<std::string, std::string>& headers = {}) const
    {
        return { .method = method, .url = "http://127.0.0.1:" + std::to_string(port) + path, .headers = headers, .body = body };
    }

    http_call_reply call(const std::string& method, const std::string& path, const std::string& body = {},
        const std::map<std::string, std::string>& headers = {}) const
    {
        return httpCall(request(method, path, body, headers));
    }

    void setFaults(const std::string& faults) const
    {
        BOOST_REQUIRE(call("POST", "/control/faults", faults).status == 200);
    }

    Poco::JSON::Object::Ptr record() const
    {
        const http_call_reply reply = call("GET", "/control/record");
        BOOST_REQUIRE(reply.status == 200);
        return Poco::JSON::Parser {}.parse(reply.body).extract<Poco::JSON::Object::Ptr>();
    }

    std::int64_t recorded(const std::string& name) const { return record()->getValue<Poco::Int64>(name); }
};

/// Waits up to two seconds until a condition holds and returns whether it does.
inline bool becomesTrue(const std::function<bool()>& condition)
{
    constexpr int tries = 200;
    for (int count = 0; count < tries; ++count) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    }
    return condition();
}

} // namespace radishflow
