// Declares server_exchange, one request at one backend server.
#pragma once

#include "radishflow/Relay/body_decoder.h"
#include "radishflow/Relay/body_read_result.h"
#include "radishflow/Relay/exchange_state.h"
#include "radishflow/Relay/server_connection_pool.h"
#include "radishflow/Routing/listed_server.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

struct exchange_options {
    const listed_server& server;
    const relay_socket& caller; ///< Its leaving ends each wait.
    time_point deadline {};
    time_point headDeadline {}; ///< Up to which start() waits for the head of the answer.
    duration connectTimeout {};
    duration maxIdleTime {}; ///< Longest idle time of a connection that is used again.
    std::size_t maxIdleConnections = 16; ///< Idle connections to the server that this daemon keeps.
    bool isHeadOnly = false; ///< A HEAD request, whose answer has no body.
};

/// Closes its connection unless keep() gave it back, which also cancels the work. Used by one thread.
class server_exchange {
public:
    server_exchange(server_connection_pool&, const exchange_options&);
    ~server_exchange();
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    /// Sends a request and reads the head of its answer; answers of which `isForRequest` is false are read over.
    exchange_state start(std::string_view head, std::string_view body, std::function<bool(const response_head&)> belongsToRequest);
    /// Waits on for the head after start() timed out.
    exchange_state awaitHead(time_point deadline);
    /// Reads on; decoded bytes are added to the output.
    body_read_result read(std::string& output);
    /// Gives the connection back for the next request where it is clean.
    void releaseConnection();

    const response_head& head() const { return m_head; }
    bool isReused() const { return m_isReused; }

private:
    exchange_state open();
    exchange_state readHead();
    exchange_state readMatchingHead();
    exchange_state discardResponse();
    static exchange_state exchangeStateOf(io_outcome);

    server_connection_pool& m_connections;
    exchange_options m_options;
    relay_socket m_socket;
    std::function<bool(const response_head&)> m_belongsToRequest;
    response_head m_head;
    std::optional<body_decoder> m_decoder;
    bool m_isReused = false;
    bool m_isRequestSent = false;
    bool m_hasForeignBytes = false; ///< Foreign bytes came, so nothing else may be read from the connection.
};

} // namespace radishflow
