// Declares edge_handlers, what a daemon does with the requests of callers.
#pragma once

#include "radishflow/Edge/caller_answer.h"
#include "radishflow/Edge/caller_request.h"
#include "radishflow/Edge/document.h"
#include "radishflow/Edge/document_request.h"

#include <functional>

namespace radishflow {

/// Each is called from many threads at once and must not throw.
struct edge_handlers {
    std::function<caller_answer(const caller_request&)> call; ///< Model calls and service calls.
    std::function<document(const document_request&)> answer; ///< Everything else.
};

} // namespace radishflow
