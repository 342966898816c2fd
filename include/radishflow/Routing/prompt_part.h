// Declares prompt_part, a section of a prompt that several requests may have in common.
#pragma once

#include <cstdint>

namespace radishflow {

struct prompt_part {
    std::uint64_t id = 0;
    int tokens = 0;
};

} // namespace radishflow
