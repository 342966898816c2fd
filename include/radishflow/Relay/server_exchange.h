// Declares server_exchange, which sends one request to one backend server and reads the response.
#pragma once

#include "radishflow/Relay/body_read_result.h"
#include "radishflow/Relay/exchange_state.h"
#include "radishflow/Relay/server_connection_pool.h"
#include "radishflow/Requests/body_decoder.h"
#include "radishflow/Routing/listed_server.h"
#include "radishflow/Routing/server_access_monitor.h"
#include "radishflow/Support/boottime_clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

struct exchange_options {
    const listed_server& server;
    const relay_socket& caller; ///< Every wait ends when it disconnects.
    time_point deadline {}; ///< For the whole exchange.
    time_point headDeadline {}; ///< Until which start() waits for the response head.
    duration connectTimeout {};
    std::chrono::milliseconds maxSilence = maxSilenceIfRepeatable; ///< After which the connection fails.
    duration maxIdleTime {}; ///< Maximum idle time of a pooled connection that is reused.
    std::size_t maxIdleConnections = 16; ///< Maximum number of pooled connections to the server.
    server_access_monitor<boottime_clock>* access = nullptr; ///< Records connections and received bytes; null if the peer is not a backend server.
    bool isHeadOnly = false; ///< HEAD request, whose response has no body.
};

/// The destructor closes the connection unless releaseConnection() returned it to the pool. Closing it makes the server
/// cancel the request. Not thread-safe.
class server_exchange {
public:
    server_exchange(server_connection_pool&, const exchange_options&);
    ~server_exchange();
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    /// Sends a request and reads its response head. Responses for which `belongsToRequest` returns false are discarded.
    exchange_state start(std::string_view head, std::string_view body, std::function<bool(const response_head&)> belongsToRequest);
    /// Continues to wait for the response head after start() timed out.
    exchange_state awaitHead(time_point deadline);
    /// Reads more of the body and appends the decoded bytes to the output.
    body_read_result read(std::string& output);
    /// Returns the connection to the pool if it can be reused: request and response are complete, and nothing else was
    /// received.
    void releaseConnection();

    /// Returns whether the body ends with the connection; call it after start() succeeded.
    bool endsWithConnection() const { return m_decoder && m_decoder->endsWithConnection(); }
    /// Returns the number of bytes of the body that have not been read; 0 if only its end will show how many.
    std::uint64_t remainingBytes() const { return m_decoder ? m_decoder->remainingBytes() : 0; }
    const response_head& head() const { return m_head; }
    bool isReused() const { return m_isReused; }
    /// Returns whether the connection failed because the server was silent for longer than allowed.
    bool hasPeerTimedOut() const { return m_socket.hasPeerTimedOut(); }

private:
    exchange_state open();
    io_outcome receive(time_point deadline);
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
    int m_interimResponses = 0;
    int m_foreignResponses = 0;
    bool m_hasForeignBytes = false; ///< A response to another request was received, so the connection must not be reused.
};

} // namespace radishflow
