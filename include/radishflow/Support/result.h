// Names the result type of operations that can fail; their error object is failure.
#pragma once

#include "radishflow/Support/failure.h"

#include <boost/leaf.hpp>

#include <utility>

namespace radishflow {

/// Either a value or a loaded failure.
template <typename T>
using result = boost::leaf::result<T>;

/// Loads a failure for the nearest handler.
inline boost::leaf::error_id fail(failure error)
{
    return boost::leaf::new_error(std::move(error));
}

/// Runs an operation that returns result<T>; on failure calls handler(const failure&), which returns a T.
template <typename Operation, typename Handler>
auto valueOr(Operation&& operation, Handler&& handler)
{
    return boost::leaf::try_handle_all(
        std::forward<Operation>(operation),
        [&](const failure& error) { return handler(error); },
        [&] { return handler(failure { .step = "unknown step", .detail = "no failure was loaded" }); });
}

} // namespace radishflow
