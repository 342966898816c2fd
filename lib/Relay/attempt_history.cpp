// Implements the decisions whether to resend a request and how to refuse it.
#include "radishflow/Relay/attempt_history.h"

#include <chrono>

namespace radishflow {

// Maximum number of attempts that did not run the request. They come on top of the route's attempts.
static constexpr int maxNotRun = 3;
// Time after which a server is likely to have capacity again, or a new server to be listed.
static constexpr std::chrono::milliseconds noServerRetryAfter { 250 };

bool mayRunAgain(const route& route, const attempt_history& history)
{
    if (history.mayHaveRun > 0 && !isRepeatable(route))
        return false;
    return history.mayHaveRun < route.attempts;
}

bool canResend(const route& route, const attempt_history& history)
{
    return mayRunAgain(route, history) && history.notRun < maxNotRun;
}

refusal refusalForAttempts(const attempt_history& history, bool isDeadlineOver)
{
    if (history.mayHaveRun == 0)
        return { .status = 503, .title = "No server available", .detail = "no backend server could take the request", .retryAfter = noServerRetryAfter };
    if (isDeadlineOver)
        return { .status = 504, .title = "Timeout", .detail = "no answer came in time", .execution = execution_state::Unknown };
    return { .status = 502, .title = "Backend server failed", .detail = "the request may have run, and its answer was lost", .execution = execution_state::Unknown };
}

} // namespace radishflow
