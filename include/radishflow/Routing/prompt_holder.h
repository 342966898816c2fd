// Declares prompt_holder, where one daemon tells another that a prompt is cached.
#pragma once

#include <cstdint>

namespace radishflow {

struct prompt_holder {
    std::uint32_t prompt = 0; ///< promptHashOf() the request's affinity.
    std::uint32_t server = 0; ///< loadHashOf() the server's id.
};

constexpr std::uint32_t promptHashOf(std::uint64_t affinity)
{
    return static_cast<std::uint32_t>(affinity ^ (affinity >> 32U));
}

} // namespace radishflow
