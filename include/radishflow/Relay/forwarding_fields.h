// Declares the header fields with which a daemon without access to the backend servers forwards a request to another daemon.
#pragma once

#include "radishflow/Requests/message_head.h"
#include "radishflow/Routing/stream_origin.h"
#include "radishflow/Support/execution_state.h"
#include "radishflow/Support/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishflow {

/// What the forwarding daemon states about a request.
struct forwarded_request {
    daemon_id from;
    std::string token; ///< Token that the forwarding daemon publishes by gossip.
    config_version config; ///< Version by which the forwarding daemon admitted the request.
    std::chrono::milliseconds timeLeft { 0 }; ///< Until the deadline of the request.
    int mayHaveRun = 0; ///< Attempts of the forwarding daemon after which a server may have started to run the request.
    std::vector<server_id> triedServers;
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event of the stream that was forwarded to the caller.
    std::optional<version_key> version; ///< Software version at which the stream began.
};

/// Why a daemon did not serve a forwarded request.
enum class refusal_scope {
    Access, ///< It reaches no server either.
    Slots, ///< It dispatches the service, and all of its slots are in use.
    Capacity, ///< It takes no forwarded requests now; another daemon may.
    Request, ///< It would be refused at any daemon.
};

/// What the serving daemon states about its response.
struct forwarded_response {
    request_id request;
    server_id server; ///< Server that sent the response; empty for a response of the daemon itself.
    std::optional<version_key> version; ///< Software version at which the stream began.
    std::optional<execution_state> execution; ///< Of a request that no server responded to.
    refusal_scope scope = refusal_scope::Request;
};

/// Returns whether the field is reserved for forwarded requests and their responses.
bool isForwardingField(std::string_view name);
void removeForwardingFields(header_fields&);

/// Returns the head of the forwarded request.
std::string writeForwardedHead(const request_head&, std::size_t bodyBytes, const forwarded_request&);
/// Returns nothing if a field is missing or malformed.
std::optional<forwarded_request> readForwardedRequest(const header_fields&);

/// Returns the lines that are added to the head of a response to a forwarded request.
std::string writeForwardedFields(const forwarded_response&);
forwarded_response readForwardedResponse(const header_fields&);

} // namespace radishflow
