// Declares request_record, what is logged and counted of one request.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <optional>
#include <string>

namespace radishflow {

struct request_record {
    request_id request;
    request_id resumes; ///< Request whose stream it resumes; empty for a new one.
    std::string route;
    workspace_id workspace;
    std::string fingerprint; ///< In hexadecimal, as in the log lines of crashes; empty if the request was refused before it was computed.
    service_id service;
    daemon_id forwardedFrom; ///< Daemon that forwarded the request to this one; empty for a request of a caller.
    daemon_id forwardedTo; ///< Last daemon to which this one forwarded it; empty if none.
    std::string servers; ///< Those tried, in order, each with how the attempt ended.
    std::string prompt = "none"; ///< Where the last server had the shared prompt from, in one word.
    double serverLoad = 0; ///< Estimated requests at the last server when it was chosen, without this one.
    double meanLoad = 0; ///< Estimated mean load of the service's servers at that time.
    std::optional<duration> loadReportAge; ///< Age of the last server's load report at that time; not set if no report was recent.
    std::size_t candidates = 0; ///< Servers that could be chosen at that time.
    std::size_t reportedCandidates = 0; ///< Candidates with a recent load report.
    std::string outcome; ///< How the request ended, in one word.
    std::string reason; ///< Why it was refused; empty where it wasn't.
    int status = 0; ///< As sent to the caller; 0 where it left first.
    int sends = 0;
    config_version config;
    duration configAge {}; ///< Since the configuration was last confirmed.
    std::size_t eligibleServers = 0;
    std::size_t fleetSize = 0;
    duration total {};
    std::optional<duration> firstBytes; ///< Until the first bytes of the answer.

    bool isServed() const { return status >= 200 && status < 300 && outcome == "served"; }
};

} // namespace radishflow
