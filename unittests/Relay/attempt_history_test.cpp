// Tests when a request may be resent, and which refusal its caller receives otherwise.
#include "radishflow/Relay/attempt_history.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;

namespace {

struct resend_case {
    const char* name;
    work_kind kind;
    bool isResumable;
    int attempts;
    int mayHaveRun;
    int notRun;
    bool maySend;
};

std::ostream& operator<<(std::ostream& out, const resend_case& each) { return out << each.name; }

const resend_case resends[] {
    { "idempotent after a failure", work_kind::Idempotent, false, 2, 1, 0, true },
    { "idempotent after its attempts", work_kind::Idempotent, false, 2, 2, 0, false },
    { "non-idempotent that may have run", work_kind::NonIdempotent, false, 3, 1, 0, false },
    { "non-idempotent that did not run", work_kind::NonIdempotent, false, 1, 0, 1, true },
    { "non-idempotent not run by three servers", work_kind::NonIdempotent, false, 1, 0, 3, false },
    { "non-idempotent that may have run after a refusal", work_kind::NonIdempotent, false, 3, 1, 1, false },
    { "stream that is not resumable", work_kind::Stream, false, 2, 1, 0, false },
    { "resumable stream", work_kind::Stream, true, 2, 1, 0, true },
    { "stream without attempts left", work_kind::Stream, true, 1, 1, 0, false },
};

struct refusal_case {
    const char* name;
    int mayHaveRun;
    bool isLate;
    int status;
    bool saysNotRun;
};

std::ostream& operator<<(std::ostream& out, const refusal_case& each) { return out << each.name; }

const refusal_case refusals[] {
    { "nothing was sent", 0, false, 503, true },
    { "nothing was sent in time", 0, true, 503, true },
    { "may have run", 1, false, 502, false },
    { "may have run, and no time is left", 1, true, 504, false },
};

} // namespace

BOOST_DATA_TEST_CASE(resendIsAllowedOnlyIfTheRequestCannotRunTwice, boost::unit_test::data::make(resends), each)
{
    const route target { .kind = each.kind, .attempts = each.attempts, .isResumable = each.isResumable };
    BOOST_TEST(canResend(target, { .mayHaveRun = each.mayHaveRun, .notRun = each.notRun }) == each.maySend);
}

BOOST_DATA_TEST_CASE(refusalStatesNotRunOnlyIfNoServerMayHaveRunTheRequest, boost::unit_test::data::make(refusals), each)
{
    const refusal reason = refusalForAttempts({ .mayHaveRun = each.mayHaveRun, .notRun = 1 }, each.isLate);
    BOOST_TEST(reason.status == each.status);
    BOOST_TEST((reason.execution == execution_state::NotRun) == each.saysNotRun);
    BOOST_TEST((reason.retryAfter.count() > 0) == each.saysNotRun);
}
