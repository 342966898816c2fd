// Declares the RFC 9457 text of a refusal.
#pragma once

#include "radishflow/Requests/refusal.h"
#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

/// Returns the JSON object of a refusal, with the members `execution` and `request_id`.
std::string problemDetails(const refusal&, const request_id&);

} // namespace radishflow
