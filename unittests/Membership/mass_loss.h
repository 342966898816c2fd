// Declares mass_loss, the loss of many daemons of a virtual_fleet at the same moment, and what the ones that are left list.
#pragma once

#include "virtual_fleet.h"

#include <boost/test/unit_test.hpp>

#include <ostream>

namespace radishflow {

enum class loss_kind {
    Killed,
    Paused, ///< As silent as a host without power: nothing refuses datagrams.
    CutOff, ///< The lost daemons reach each other.
};

/// The first `left` daemons remain.
struct mass_loss {
    const char* name;
    std::size_t daemons;
    std::size_t left;
    loss_kind kind;
    duration maxNotice; ///< Within which no daemon that is left may list a lost one.

    friend std::ostream& operator<<(std::ostream& out, const mass_loss& testCase) { return out << testCase.name; }
};

// The users' contact time and 3 s, less half a second in which directories follow the view.
inline constexpr std::chrono::milliseconds smallFleetNotice { 5500 };
inline constexpr std::chrono::milliseconds largeFleetNotice { 7500 };

inline void lose(virtual_fleet& fleet, const mass_loss& testCase)
{
    if (testCase.kind == loss_kind::CutOff) {
        fleet.isDropped = [left = testCase.left](std::size_t from, std::size_t to) { return (from < left) != (to < left); };
        return;
    }
    for (std::size_t i = testCase.left; i < fleet.size(); ++i)
        testCase.kind == loss_kind::Killed ? fleet.kill(i) : fleet.pause(i);
}

/// Returns whether the viewer's directory would name a daemon.
inline bool isListed(virtual_fleet& fleet, std::size_t viewer, std::size_t of)
{
    const member seen = fleet.view(viewer, of);
    return seen.isResponsive && seen.state != member_state::Dead && seen.state != member_state::Left;
}

/// Returns the number of pairs of a daemon that is left and a lost one that it lists.
inline std::size_t lostOnesListed(virtual_fleet& fleet, const mass_loss& testCase)
{
    std::size_t listed = 0;
    for (std::size_t viewer = 0; viewer < testCase.left; ++viewer) {
        for (std::size_t of = testCase.left; of < fleet.size(); ++of)
            listed += isListed(fleet, viewer, of) ? 1 : 0;
    }
    return listed;
}

inline bool doLeftOnesListEachOther(virtual_fleet& fleet, const mass_loss& testCase)
{
    for (std::size_t viewer = 0; viewer < testCase.left; ++viewer) {
        for (std::size_t of = 0; of < testCase.left; ++of) {
            if (!isListed(fleet, viewer, of))
                return false;
        }
    }
    return true;
}

/// Loses the daemons of a fleet whose members know each other, and checks what the others list.
inline void checkLostOnesLeaveLists(virtual_fleet& fleet, const mass_loss& testCase)
{
    using namespace std::chrono_literals;
    BOOST_REQUIRE(doLeftOnesListEachOther(fleet, testCase));
    lose(fleet, testCase);
    const duration noticed = fleet.runUntil([&] { return lostOnesListed(fleet, testCase) == 0; }, 30s);
    BOOST_TEST_MESSAGE(testCase.name << ": lost daemons were listed for " << noticed / 1ms << " ms");
    BOOST_TEST(noticed / 1ms <= testCase.maxNotice / 1ms);
    BOOST_TEST(doLeftOnesListEachOther(fleet, testCase));
    fleet.run(10s);
    BOOST_TEST(lostOnesListed(fleet, testCase) == 0U);
    BOOST_TEST(doLeftOnesListEachOther(fleet, testCase));
}

} // namespace radishflow
