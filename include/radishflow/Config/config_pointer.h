// Declares config_pointer, the row of the table that says which configuration is in force.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/result.h"

#include <string>

namespace radishflow {

/// Key of the row.
inline constexpr const char* configPointerKey = "config/current";

/// A version and its object; version 0 stands for "nothing published yet".
struct config_pointer {
    config_version version;
    std::string objectKey;

    friend bool operator==(const config_pointer&, const config_pointer&) = default;
};

/// Returns the value of the row.
std::string encode(const config_pointer&);

/// Fails with failure_code::Broken when the value is not one that encode returns.
result<config_pointer> decodeConfigPointer(const std::string& value);

/// Returns the key under which a text is stored; it names the content by its hash.
std::string configObjectKey(const std::string& text);

} // namespace radishflow
