// Declares listen_options, which every stand-in takes.
#pragma once

#include <string>

namespace radishflow {

struct listen_options {
    std::string address = "127.0.0.1:0"; ///< Port 0 takes a free one.
    std::string control; ///< A second address for /control only, which a refusing stand-in needs; empty for none.
    int threads = 128; ///< Connections served at once; a stream holds one thread.
};

} // namespace radishflow
