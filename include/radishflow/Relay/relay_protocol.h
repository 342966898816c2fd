// Declares relay_protocol, the headers by which callers, the relay and backend servers understand each other.
#pragma once

#include "radishflow/Relay/answer_facts.h"
#include "radishflow/Relay/dispatch_facts.h"
#include "radishflow/Relay/message_head.h"
#include "radishflow/Relay/relayed_request.h"

#include <concepts>
#include <cstddef>
#include <string>

namespace radishflow {

/// Translates heads and takes no decision. Called from many threads.
template <typename T>
concept relay_protocol = requires(const T& protocol, const request_head& request, const response_head& response, const dispatch_facts& facts, std::size_t bodyBytes)
{
    {
        protocol.readRequest(request)
        } -> std::same_as<relayed_request>;
    {
        protocol.writeRequest(request, facts, bodyBytes)
        } -> std::same_as<std::string>;
    {
        protocol.readAnswer(response)
        } -> std::same_as<answer_facts>;
};

} // namespace radishflow
