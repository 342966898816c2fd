// Declares relay_protocol, the concept of a class that maps between HTTP heads and the relay's own types.
#pragma once

#include "radishflow/Relay/dispatch_metadata.h"
#include "radishflow/Relay/relayed_request.h"
#include "radishflow/Relay/response_metadata.h"
#include "radishflow/Requests/message_head.h"

#include <concepts>
#include <cstddef>
#include <string>

namespace radishflow {

/// Reads requests of callers and responses of backend servers, and writes requests to backend servers. Makes no routing or
/// admission decisions. Its functions are called concurrently.
template <typename T>
concept relay_protocol = requires(const T& protocol, const request_head& request, const response_head& response, const dispatch_metadata& metadata, std::size_t bodyBytes)
{
    {
        protocol.readRequest(request)
        } -> std::same_as<relayed_request>;
    {
        protocol.writeRequest(request, metadata, bodyBytes)
        } -> std::same_as<std::string>;
    {
        protocol.readResponse(response)
        } -> std::same_as<response_metadata>;
};

} // namespace radishflow
