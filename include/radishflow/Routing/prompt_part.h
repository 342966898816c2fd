// Declares prompt_part, a piece of a prompt that requests may share.
#pragma once

#include <cstdint>

namespace radishflow {

struct prompt_part {
    std::uint64_t id = 0;
    int tokens = 0;
};

} // namespace radishflow
