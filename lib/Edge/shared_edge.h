// Declares shared_edge, what all connections of one edge_server use.
#pragma once

#include "radishflow/Edge/edge_handlers.h"
#include "radishflow/Edge/edge_options.h"

#include "connection_watch.h"

#include <Poco/Net/HTTPServerParams.h>

#include <atomic>

namespace radishflow {

struct shared_edge {
    edge_options options;
    edge_handlers handlers;
    Poco::Net::HTTPServerParams::Ptr parameters;
    connection_watch watch {};
    std::atomic<int> calls = 0;
    std::atomic<bool> isLeaving = false;
};

} // namespace radishflow
