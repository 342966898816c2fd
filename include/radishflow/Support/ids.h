// Names the identifiers that the libraries share.
#pragma once

#include "radishflow/Support/number_id.h"
#include "radishflow/Support/string_id.h"

namespace radishflow {

using daemon_id = string_id<struct daemon_id_tag>; ///< One radishflowd by its configured name.
using host_id = string_id<struct host_id_tag>; ///< One machine.
using zone_id = string_id<struct zone_id_tag>; ///< An availability zone.
using region_id = string_id<struct region_id_tag>;
using workspace_id = string_id<struct workspace_id_tag>; ///< A customer's workspace.
using service_id = string_id<struct service_id_tag>;
using server_id = string_id<struct server_id_tag>; ///< A backend server or engine, "host:port".
using software_version = string_id<struct software_version_tag>; ///< Version of a backend server's software, not of its model weights.
using model_id = string_id<struct model_id_tag>;
using chat_id = string_id<struct chat_id_tag>;
using request_id = string_id<struct request_id_tag>;
using idempotency_key = string_id<struct idempotency_key_tag>;
using attempt_id = string_id<struct attempt_id_tag>; ///< One try of a request; unique for ever.

using incarnation_number = number_id<struct incarnation_tag>; ///< Grows each time a daemon starts.
using term_number = number_id<struct term_tag>; ///< Fencing number of an ownership.
using config_version = number_id<struct config_version_tag>;

} // namespace radishflow
