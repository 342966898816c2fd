// Declares the concept of the platform's object store.
#pragma once

#include "radishflow/Support/result.h"

#include <concepts>
#include <string>

namespace radishflow {

/// A store of immutable objects.
///
/// putObject(key, bytes) fails with failure_code::Conflict when the key exists, with ReplyLost when it may
/// have taken effect, and with Unreachable when it has not. getObject(key) fails with NotFound.
template <typename T>
concept object_store = requires(T& store, const std::string& key, const std::string& bytes)
{
    {
        store.putObject(key, bytes)
        } -> std::same_as<result<void>>;
    {
        store.getObject(key)
        } -> std::same_as<result<std::string>>;
};

} // namespace radishflow
