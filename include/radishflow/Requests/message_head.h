// Declares the parsed heads of HTTP/1.1 messages.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace radishflow {

struct header_field {
    std::string name; ///< As received; compared case-insensitively.
    std::string value;
};

struct header_fields {
    std::vector<header_field> all; ///< In the order received.

    /// Returns the value of the first field with this name, or null.
    const std::string* find(std::string_view name) const;
    /// Returns whether a field with this name lists the token, compared case-insensitively.
    bool hasToken(std::string_view name, std::string_view token) const;
    /// Returns the number of fields with this name.
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

/// Compares ASCII strings case-insensitively.
bool equalsIgnoringCase(std::string_view, std::string_view);

/// Returns whether the sender keeps the connection open after this message.
bool keepsConnection(int minorVersion, const header_fields&);

/// Returns whether a field applies to one connection only, so that a relay must not forward it.
bool isHopByHop(const header_fields&, std::string_view name);

} // namespace radishflow
