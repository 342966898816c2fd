// Declares platform_options, the settings of platform_client.
#pragma once

#include <chrono>
#include <string>

namespace radishflow {

struct platform_options {
    std::string address; ///< "127.0.0.1:7000".
    std::chrono::milliseconds timeout { 1500 }; ///< Bounds the connect and each wait for bytes.
    std::chrono::milliseconds busyPatience { 1000 }; ///< How long a call that the platform's rate refused is tried again.
    std::string bucket { "radishflow" };
};

} // namespace radishflow
