// Declares the heads of HTTP/1.1 messages as the relay keeps them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace radishflow {

struct header_field {
    std::string name; ///< As it came; compared without regard to case.
    std::string value;
};

struct header_fields {
    std::vector<header_field> all; ///< In the order in which they came.

    /// Returns the first value, or null.
    const std::string* find(std::string_view name) const;
    /// Whether any field of this name lists the token, without regard to case.
    bool hasToken(std::string_view name, std::string_view token) const;
    std::size_t count(std::string_view name) const;
};

struct request_head {
    std::string method;
    std::string target;
    int minorVersion = 1;
    header_fields fields;
};

struct response_head {
    int status = 0;
    std::string reason;
    int minorVersion = 1;
    header_fields fields;
};

/// Compares names of header fields.
bool equalsIgnoringCase(std::string_view, std::string_view);

/// Whether the sender keeps the connection open after this message.
bool keepsConnection(int minorVersion, const header_fields&);

/// Whether a field concerns one connection only, so that a relay drops it.
bool isHopByHop(const header_fields&, std::string_view name);

} // namespace radishflow
