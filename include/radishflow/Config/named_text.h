// Declares named_text, the content of one file.
#pragma once

#include <string>

namespace radishflow {

struct named_text {
    std::string name; ///< As problems shall name it, such as "records/radishflow.yaml".
    std::string text;
};

} // namespace radishflow
