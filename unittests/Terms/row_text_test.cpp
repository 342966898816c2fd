// Tests that rows round-trip through their text format and that malformed text is rejected.
#include "radishflow/Terms/ownership_row.h"
#include "radishflow/Terms/renewal_row.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;

BOOST_AUTO_TEST_CASE(rowsRoundTrip)
{
    const renewal_row renewal { .incarnation = incarnation_number { 3 }, .nonce = ~0ULL, .sequence = 9, .state = renewal_state::Released };
    BOOST_TEST((parseRenewalRow(format(renewal)) == renewal));
    ownership_row owner { .daemon = daemon_id { "d1" }, .incarnation = incarnation_number { 2 }, .term = term_number { 7 }, .isReleased = true };
    owner.formerHolders.push_back({ .daemon = daemon_id { "d2" }, .incarnation = incarnation_number { 1 }, .term = term_number { 5 } });
    owner.formerHolders.push_back({ .daemon = daemon_id { "d3" }, .incarnation = incarnation_number { 1 }, .term = term_number { 6 }, .running = 4 });
    BOOST_TEST((parseOwnershipRow(format(owner)) == owner));
}

BOOST_DATA_TEST_CASE(malformedRowsAreRejected,
    boost::unit_test::data::make({ "", "o1", "o2 d 1 1 held 0", "o1 d 1 1 owned 0", "o1 d 1 1 held", "o1 d 1 1 held 1",
        "o1 d x 1 held 0", "o1 d 1 1 held 0 more", "o1 d 1 1 held 1 e 1 1 -2", "o1 d 1 1 held 1 e 1 1 2x", "o1 d 1 99999999999999999999 held 0",
        "r1 1 1 1", "r1 1 1 1 gone", "r1 1 1 1 live ", "r1 -1 1 1 live" }),
    text)
{
    BOOST_TEST(!parseOwnershipRow(text));
    BOOST_TEST(!parseRenewalRow(text));
}

BOOST_AUTO_TEST_CASE(keysRoundTrip)
{
    BOOST_TEST((daemonOfRenewalKey(renewalKey(daemon_id { "d1" })) == daemon_id { "d1" }));
    BOOST_TEST((serverOfOwnershipKey(ownershipKey(server_id { "10.0.0.1:80" })) == server_id { "10.0.0.1:80" }));
    BOOST_TEST(!daemonOfRenewalKey(ownershipKey(server_id { "s" })));
}
