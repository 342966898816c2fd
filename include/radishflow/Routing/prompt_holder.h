// Declares prompt_holder, the message in which a daemon publishes which backend server caches a prompt.
#pragma once

#include <cstdint>

namespace radishflow {

struct prompt_holder {
    std::uint32_t prompt = 0; ///< promptHashOf() of the request's affinity.
    std::uint32_t server = 0; ///< serverHashOf() of the server's id.
};

constexpr std::uint32_t promptHashOf(std::uint64_t affinity)
{
    return static_cast<std::uint32_t>(affinity ^ (affinity >> 32U));
}

} // namespace radishflow
