// Tests the encoding of hints as datagrams, and their exchange by UDP.
#include "radishflow/Fleet/hint_codec.h"
#include "radishflow/Fleet/hint_exchange.h"

#include "process_port.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <string>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

// Hints that exceed the maximum of a datagram are dropped; the others must be decoded unchanged, also where a hash or a
// fingerprint is so large that its signed Thrift field becomes negative.
BOOST_DATA_TEST_CASE(hintsAreDecodedUnchangedUpToTheMaximumOfADatagram, boost::unit_test::data::make({ 0, 1, 79, 80, 150 }), count)
{
    std::vector<shared_load> loads;
    loads.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        loads.push_back({ .server = 0xfffffff0U + static_cast<std::uint32_t>(number), .requests = number * 3, .age = 50ms * number });
    std::vector<crash_record> crashes;
    crashes.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count / 10; ++number)
        crashes.push_back({ .fingerprint = { .high = ~std::uint64_t { 0 } - static_cast<std::uint64_t>(number), .low = 5 }, .server = server_id { "i-" + std::string(16, 'a') + std::to_string(number) }, .remaining = 9s, .progress = number % 2 == 0 ? response_progress::None : response_progress::Steady });
    std::vector<prompt_holder> promptHolders;
    promptHolders.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        promptHolders.push_back({ .prompt = 0xffffff00U - static_cast<std::uint32_t>(number), .server = 0xfffffff0U });
    const std::string datagram = encodeHints({ .loads = loads, .crashes = crashes, .promptHolders = promptHolders });
    BOOST_TEST(datagram.size() <= 1200U);
    const auto decoded = decodeHints(datagram);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->loads.size() == std::min(loads.size(), maxLoadHints));
    BOOST_REQUIRE(decoded->crashes.size() == std::min(crashes.size(), maxCrashHints));
    BOOST_REQUIRE(decoded->promptHolders.size() == std::min(promptHolders.size(), maxPromptHints));
    for (std::size_t index = 0; index < decoded->promptHolders.size(); ++index) {
        BOOST_TEST(decoded->promptHolders[index].prompt == promptHolders[index].prompt);
        BOOST_TEST(decoded->promptHolders[index].server == promptHolders[index].server);
    }
    for (std::size_t index = 0; index < decoded->crashes.size(); ++index) {
        BOOST_TEST((decoded->crashes[index].fingerprint == crashes[index].fingerprint));
        BOOST_TEST(decoded->crashes[index].server.value() == crashes[index].server.value());
        BOOST_TEST((decoded->crashes[index].remaining == 9s));
        BOOST_TEST((decoded->crashes[index].progress == crashes[index].progress));
    }
    for (std::size_t index = 0; index < decoded->loads.size(); ++index) {
        BOOST_TEST(decoded->loads[index].server == loads[index].server);
        BOOST_TEST(decoded->loads[index].requests == loads[index].requests);
        BOOST_TEST((decoded->loads[index].age == loads[index].age));
    }
}

// Evidence of a roll-out travels in datagrams of its own; the newest responses of the target are kept.
BOOST_DATA_TEST_CASE(rolloutEvidenceIsDecodedUnchangedUpToTheMaximumOfADatagram, boost::unit_test::data::make({ 0, 1, 60, 90 }), count)
{
    rollout_evidence evidence { .service = 0xfffffff0U, .order = 77, .requests = 1000, .targetRequests = 60, .baseInFlight = 3, .base = {}, .target = {} };
    for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(count) / 6; ++number) {
        evidence.base.push_back({ .route = 0xf0000000U + number, .responses = 40, .failures = 2 });
        evidence.base.back().paces[7] = 30;
        evidence.base.back().paces[paceBuckets - 1] = number;
    }
    for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(count); ++number)
        evidence.target.push_back({ .route = 0xf0000000U, .server = number, .isFailure = number % 3 == 0, .pace = number % 3 == 1 ? std::optional { std::size_t { number % paceBuckets } } : std::nullopt });
    const std::string datagram = encodeHints({ .rolloutEvidence = { evidence } });
    BOOST_TEST(datagram.size() <= 1200U);
    const auto decoded = decodeHints(datagram);
    BOOST_REQUIRE(decoded && decoded->rolloutEvidence.size() == 1U);
    const rollout_evidence& received = decoded->rolloutEvidence.front();
    BOOST_TEST(received.service == evidence.service);
    BOOST_TEST(received.order == 77U);
    BOOST_TEST(received.requests == 1000U);
    BOOST_TEST(received.targetRequests == 60U);
    BOOST_TEST(received.baseInFlight == 3U);
    BOOST_REQUIRE(received.base.size() == evidence.base.size());
    for (std::size_t index = 0; index < received.base.size(); ++index) {
        BOOST_TEST(received.base[index].route == evidence.base[index].route);
        BOOST_TEST((received.base[index].paces == evidence.base[index].paces));
    }
    const std::size_t kept = std::min(evidence.target.size(), maxRolloutSamples);
    BOOST_REQUIRE(received.target.size() == kept);
    for (std::size_t index = 0; index < kept; ++index) {
        const version_sample& sent = evidence.target[evidence.target.size() - kept + index];
        BOOST_TEST(received.target[index].server == sent.server);
        BOOST_TEST(received.target[index].isFailure == sent.isFailure);
        BOOST_TEST((received.target[index].pace == (sent.isFailure ? std::nullopt : sent.pace)));
    }
}

BOOST_DATA_TEST_CASE(promptReportsAreDecodedUnchangedUpToTheMaximumOfADatagram, boost::unit_test::data::make({ 1, 69, 70, 150 }), count)
{
    std::vector<prompt_report> reports;
    for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(count); ++number)
        reports.push_back({ .prompt = 0xffffff00U - number, .server = 0xfffffff0U + number, .age = 10ms * number });
    const std::string datagram = encodeHints({ .promptReports = reports });
    BOOST_TEST(datagram.size() <= 1200U);
    const auto decoded = decodeHints(datagram);
    BOOST_REQUIRE(decoded && decoded->promptReports.size() == std::min(reports.size(), maxPromptReports));
    for (std::size_t index = 0; index < decoded->promptReports.size(); ++index) {
        BOOST_TEST(decoded->promptReports[index].prompt == reports[index].prompt);
        BOOST_TEST(decoded->promptReports[index].server == reports[index].server);
        BOOST_TEST((decoded->promptReports[index].age == reports[index].age));
    }
}

BOOST_DATA_TEST_CASE(delaysAreDecodedUnchangedUpToTheMaximumOfADatagram, boost::unit_test::data::make({ 1, 60, 90 }), count)
{
    std::vector<shared_delay> delays;
    for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(count); ++number)
        delays.push_back({ .server = 0xfffffff0U + number, .delay = 1s * number, .age = 10ms * number });
    const std::string datagram = encodeHints({ .delays = delays });
    BOOST_TEST(datagram.size() <= 1200U);
    const auto decoded = decodeHints(datagram);
    BOOST_REQUIRE(decoded && decoded->delays.size() == std::min(delays.size(), maxDelayHints));
    for (std::size_t index = 0; index < decoded->delays.size(); ++index) {
        BOOST_TEST(decoded->delays[index].server == delays[index].server);
        BOOST_TEST((decoded->delays[index].delay == delays[index].delay));
        BOOST_TEST((decoded->delays[index].age == delays[index].age));
    }
}

BOOST_DATA_TEST_CASE(tokenOfTheSenderIsDecodedUnchanged, boost::unit_test::data::make({ 0, 24, 200 }), length)
{
    const std::string token(static_cast<std::size_t>(length), 't');
    const auto decoded = decodeHints(encodeHints({ .sender = daemon_id { "d7" }, .senderToken = token }));
    const bool isTooLong = length > 128;
    BOOST_REQUIRE(decoded.has_value() == !isTooLong);
    if (!decoded)
        return;
    BOOST_TEST(decoded->senderToken == token);
    BOOST_TEST(decoded->sender.empty() == token.empty());
}

BOOST_AUTO_TEST_CASE(rolloutNoticesAreDecodedUnchanged)
{
    const rollout_notice notice { .service = 0xfffffff0U, .order = 9, .state = rollout_state::RolledBack, .isSuspended = true, .isTrial = false, .share = 0.25, .age = 700ms };
    const auto decoded = decodeHints(encodeHints({ .rolloutNotices = { notice } }));
    BOOST_REQUIRE(decoded && decoded->rolloutNotices.size() == 1U);
    const rollout_notice& received = decoded->rolloutNotices.front();
    BOOST_TEST(received.service == notice.service);
    BOOST_TEST(received.order == 9U);
    BOOST_TEST((received.state == notice.state));
    BOOST_TEST(received.isSuspended);
    BOOST_TEST(!received.isTrial);
    BOOST_TEST(received.share == 0.25);
    BOOST_TEST((received.age == 700ms));
}

// Evidence on prompt parts travels in datagrams of its own.
BOOST_DATA_TEST_CASE(partHintsAreDecodedUnchangedUpToTheMaximumOfADatagram, boost::unit_test::data::make({ 1, 11, 12, 40 }), count)
{
    std::vector<part_evidence> parts;
    parts.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        parts.push_back({ .part = ~std::uint64_t { 0 } - static_cast<std::uint64_t>(number), .process = server_id { number % 2 == 0 ? "i-0123456789@1767225600000" : "" }, .zone = zone_id { "la-nicoliere-zone" }, .age = 10ms * number });
    const std::string datagram = encodeHints({ .parts = parts });
    BOOST_TEST(datagram.size() <= 1200U);
    const auto decoded = decodeHints(datagram);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->parts.size() == std::min(parts.size(), maxPartHints));
    for (std::size_t index = 0; index < decoded->parts.size(); ++index) {
        BOOST_TEST(decoded->parts[index].part == parts[index].part);
        BOOST_TEST(decoded->parts[index].process.value() == parts[index].process.value());
        BOOST_TEST(decoded->parts[index].zone.value() == parts[index].zone.value());
        BOOST_TEST((decoded->parts[index].age == parts[index].age));
    }
}

BOOST_DATA_TEST_CASE(limitHintsAreDecodedUnchangedUpToTheMaximumOfADatagram, boost::unit_test::data::make({ 1, 59, 60, 200 }), count)
{
    std::vector<shared_limit> limits;
    limits.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        limits.push_back({ .server = 0xffffff00U + static_cast<std::uint32_t>(number), .requestsPerSecond = number % 3 == 0 ? std::nullopt : std::optional { 100 * number + 0.125 }, .age = 20ms * number });
    const std::string datagram = encodeHints({ .limits = limits });
    BOOST_TEST(datagram.size() <= 1200U);
    const auto decoded = decodeHints(datagram);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->limits.size() == std::min(limits.size(), maxLimitHints));
    for (std::size_t index = 0; index < decoded->limits.size(); ++index) {
        BOOST_TEST(decoded->limits[index].server == limits[index].server);
        BOOST_TEST((decoded->limits[index].requestsPerSecond == limits[index].requestsPerSecond));
        BOOST_TEST((decoded->limits[index].age == limits[index].age));
    }
}

// A daemon that was suspended publishes old reports; its datagram must stay readable, since it may also hold crashes.
BOOST_AUTO_TEST_CASE(contactsAndQuestionsAreDecodedAsEncoded)
{
    const auto decoded = decodeHints(encodeHints({ .contacts = { { .service = 7, .age = 40ms }, { .service = 8, .age = 10h } }, .askedServices = { 9 } }));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->contacts.size() == 2U);
    BOOST_TEST(decoded->contacts.front().service == 7U);
    BOOST_TEST((decoded->contacts.front().age == 40ms));
    BOOST_TEST((decoded->contacts.back().age == 60s));
    BOOST_TEST(decoded->askedServices == std::vector<std::uint32_t> { 9 }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(agesBeyondTheMaximumAreReduced)
{
    const auto decoded = decodeHints(encodeHints({ .loads = { { .server = 1, .requests = 2, .age = 10h } } }));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->loads.front().age == 60s));
}

// Corrupt datagrams are either rejected or decoded to no more hints than the maximum.
BOOST_AUTO_TEST_CASE(corruptDatagramsAreRejectedOrDecodedWithinBounds)
{
    std::mt19937 random { 11 };
    std::uniform_int_distribution<int> byte { 0, 255 };
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = round % 2 == 0 ? encodeHints({ .loads = { { 1, 2 }, { 3, 4 } }, .crashes = { { .fingerprint = { 1, 2 }, .server = server_id { "i" }, .remaining = 1s } }, .promptHolders = { { 5, 6 }, { 7, 8 } } }) : std::string(static_cast<std::size_t>(round % 40), '\0');
        for (std::size_t change = 0; change < 3 && !bytes.empty(); ++change)
            bytes[static_cast<std::size_t>(random()) % bytes.size()] = static_cast<char>(byte(random));
        const auto decoded = decodeHints(bytes);
        if (decoded)
            BOOST_REQUIRE((decoded->loads.size() <= maxLoadHints && decoded->promptHolders.size() <= maxPromptHints));
    }
}

BOOST_AUTO_TEST_CASE(hintsReachAnotherDaemonByUdp)
{
    const std::string port = ':' + std::to_string(processPort());
    std::mutex mutex;
    std::vector<shared_load> received;
    std::atomic<bool> isFromSender = false;
    const auto recordLoads = [&](const server_hints& hints, const std::string& host) {
        isFromSender = host == "127.0.0.21";
        const std::lock_guard lock { mutex };
        received.insert(received.end(), hints.loads.begin(), hints.loads.end());
    };
    hint_exchange one { { .address = "127.0.0.21" + port, .onReceive = [](const server_hints&, const std::string&) {} } };
    hint_exchange two { { .address = "127.0.0.22" + port, .onReceive = recordLoads } };
    const fleet_view fleet { .self = daemon_id { "one" }, .daemons = { { .id = daemon_id { "one" }, .callerAddress = "127.0.0.21:1" }, { .id = daemon_id { "two" }, .callerAddress = "127.0.0.22:1" } } };
    one.send({ .loads = { { .server = 5, .requests = 7 } } }, fleet);
    for (int wait = 0; wait < 200; ++wait) {
        std::this_thread::sleep_for(10ms);
        const std::lock_guard lock { mutex };
        if (!received.empty())
            break;
    }
    const std::lock_guard lock { mutex };
    BOOST_TEST(isFromSender);
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST(received.front().server == 5U);
    BOOST_TEST(received.front().requests == 7);
}
