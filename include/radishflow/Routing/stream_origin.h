// Declares stream_origin, which states at which software version of its service a stream began.
#pragma once

#include "radishflow/Support/hashing.h"
#include "radishflow/Support/ids.h"

namespace radishflow {

using stream_key = number_id<struct stream_key_tag>; ///< Hash of the id of the request that brought a stream's first event.
using version_key = number_id<struct version_key_tag>; ///< Hash of a service and a version of its software; never zero.

struct stream_origin {
    stream_key stream;
    version_key version;
};

inline stream_key streamKeyOf(const request_id& request)
{
    return stream_key { stableHash(request.value()) };
}

inline version_key versionKeyOf(const service_id& service, const software_version& version)
{
    return version_key { stableHash(service.value(), version.value()) | 1U };
}

} // namespace radishflow
