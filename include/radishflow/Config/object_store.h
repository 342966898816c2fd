// Declares the concept of the platform's object store.
#pragma once

#include "radishflow/Support/result.h"

#include <concepts>
#include <string>

namespace radishflow {

/// Where immutable objects are read: the store, or a peer that holds them.
///
/// getObject(key) fails with failure_code::NotFound when there is no such object.
template <typename T>
concept object_source = requires(T& source, const std::string& key)
{
    {
        source.getObject(key)
        } -> std::same_as<result<std::string>>;
};

/// A store of immutable objects.
///
/// putObject(key, bytes) fails with failure_code::Conflict when the key exists, with ReplyLost when it may
/// have taken effect, and with Unreachable when it has not.
template <typename T>
concept object_store = object_source<T> && requires(T& store, const std::string& key, const std::string& bytes)
{
    {
        store.putObject(key, bytes)
        } -> std::same_as<result<void>>;
};

} // namespace radishflow
