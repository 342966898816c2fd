// Tests that one publisher wins, that lost replies are settled, and that daemons never go back.
#include "radishflow/Config/config_follower.h"
#include "radishflow/Config/config_publisher.h"

#include "../Support/memory_table.h"
#include "memory_object_store.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
namespace data = boost::unit_test::data;

using publisher = config_publisher<memory_table, memory_object_store>;
using follower = config_follower<memory_table, memory_object_store>;

static fleet_config configWithColdLimit(int coldLimit)
{
    fleet_config config;
    const service_id id { "records" };
    config.services.emplace(id, service_settings { .id = id, .coldLimit = coldLimit });
    return config;
}

static int coldLimitOf(const config_store& store)
{
    const auto snapshot = store.current();
    return snapshot ? findService(snapshot->config, service_id { "records" })->coldLimit : 0;
}

namespace {

/// The platform's stores and what one publisher does with them.
struct fixture {
    memory_table table;
    memory_object_store objects;
    publisher author { table, objects };

    publish_outcome publish(int coldLimit, std::uint64_t base)
    {
        return valueOr([&] { return author.publish(configWithColdLimit(coldLimit), config_version { base }); },
            [](const failure& error) {
                BOOST_TEST_MESSAGE(describe(error));
                return publish_outcome {};
            });
    }

    bool poll(config_store& store)
    {
        return valueOr([&] { return follower(table, objects, store).poll(); }, [](const failure&) { return false; });
    }
};

/// Runs another publisher right before the first commit of this one.
struct overtaken_table {
    memory_table& table;
    memory_object_store& objects;
    bool isOvertaken = false;

    result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision) { return table.readRange(prefix, minModRevision); }

    result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
    {
        if (!std::exchange(isOvertaken, true))
            BOOST_REQUIRE(publisher(table, objects).publish(configWithColdLimit(5), config_version { 1 }));
        return table.commit(conditions, writes);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(versionsFollowEachOther, fixture)
{
    BOOST_TEST(publish(1, 0).isAccepted);
    BOOST_TEST(publish(2, 1).isAccepted);
    const publish_outcome late = publish(3, 1);
    BOOST_TEST(!late.isAccepted);
    BOOST_TEST(late.current.version.value() == 2U);
}

BOOST_FIXTURE_TEST_CASE(loserOfARaceLearnsTheWinner, fixture)
{
    publish(1, 0);
    overtaken_table overtaken { .table = table, .objects = objects };
    config_publisher<overtaken_table, memory_object_store> loser(overtaken, objects);
    const publish_outcome outcome = valueOr([&] { return loser.publish(configWithColdLimit(4), config_version { 1 }); },
        [](const failure&) { return publish_outcome { .isAccepted = true, .current = {} }; });
    BOOST_TEST(!outcome.isAccepted);
    BOOST_TEST(outcome.current.version.value() == 2U);
    config_store store;
    poll(store);
    BOOST_TEST(coldLimitOf(store) == 5);
    BOOST_TEST((store.current()->pointer == outcome.current));
}

namespace {

struct lost_reply_case {
    const char* name;
    int tableReplies;
    int tableRequests;
    int objectReplies;
    bool isAccepted;
};

std::ostream& operator<<(std::ostream& out, const lost_reply_case& sample)
{
    return out << sample.name;
}

} // namespace

static const std::vector<lost_reply_case> lostReplyCases {
    { .name = "table reply", .tableReplies = 1, .tableRequests = 0, .objectReplies = 0, .isAccepted = true },
    { .name = "table request", .tableReplies = 0, .tableRequests = 1, .objectReplies = 0, .isAccepted = false },
    { .name = "object reply", .tableReplies = 0, .tableRequests = 0, .objectReplies = 1, .isAccepted = true },
};

BOOST_DATA_TEST_CASE(lostRepliesAreSettledByReadingBack, data::make(lostReplyCases), sample)
{
    fixture platform;
    platform.table.loseReplies = sample.tableReplies;
    platform.table.loseRequests = sample.tableRequests;
    platform.objects.loseReplies = sample.objectReplies;
    BOOST_TEST(platform.publish(1, 0).isAccepted == sample.isAccepted);
    BOOST_TEST(platform.publish(1, 0).isAccepted);
    config_store store;
    BOOST_TEST(platform.poll(store));
    BOOST_TEST(store.version().value() == 1U);
}

BOOST_FIXTURE_TEST_CASE(aLostReplyThatCantBeReadBackIsNotAFailure, fixture)
{
    // The platform goes dark right after the version row was written, so nobody can tell.
    struct darkening_table {
        memory_table& table;

        result<table_page> readRange(const std::string& prefix, std::int64_t minModRevision) { return table.readRange(prefix, minModRevision); }

        result<table_commit> commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
        {
            table.loseReplies = 1;
            result<table_commit> written = table.commit(conditions, writes);
            table.isDown = true;
            return written;
        }
    };
    darkening_table darkening { table };
    config_publisher<darkening_table, memory_object_store> cutOff(darkening, objects);
    const failure_code seen = valueOr(
        [&]() -> result<failure_code> {
            BOOST_LEAF_CHECK(cutOff.publish(configWithColdLimit(1), config_version {}));
            return failure_code::Broken;
        },
        [](const failure& error) { return error.code; });
    BOOST_TEST((seen == failure_code::ReplyLost));
    table.isDown = false;
    BOOST_TEST(publish(1, 0).isAccepted);
}

BOOST_FIXTURE_TEST_CASE(nothingIsInForceWithoutItsObject, fixture)
{
    objects.isDown = true;
    BOOST_TEST(!publish(1, 0).isAccepted);
    objects.isDown = false;
    config_store store;
    BOOST_TEST(!poll(store));
    BOOST_TEST(!store.current());
}

BOOST_FIXTURE_TEST_CASE(aDaemonTakesOnlyHigherVersions, fixture)
{
    config_store store;
    const config_pointer first = publish(1, 0).current;
    publish(2, 1);
    BOOST_TEST(poll(store));
    BOOST_TEST(coldLimitOf(store) == 2);
    const int gets = objects.gets;
    BOOST_TEST(!poll(store));
    BOOST_TEST(objects.gets == gets);
    BOOST_TEST(!valueOr([&] { return store.accept(first, objects.objects); }, [](const failure&) { return true; }));
    BOOST_TEST(!valueOr([&] { return fetchConfig(objects, first, store); }, [](const failure&) { return true; }));
    BOOST_TEST(objects.gets == gets);
    BOOST_TEST(coldLimitOf(store) == 2);
}

namespace {

/// A daemon that hands out the objects of the version that it has in force.
struct peer_source {
    const config_store& store;

    result<std::string> getObject(const std::string& key)
    {
        const auto snapshot = store.current();
        if (const auto found = snapshot->objects.find(key); found != snapshot->objects.end())
            return found->second;
        return fail({ .code = failure_code::NotFound, .step = "get object", .peer = "peer" });
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aFreshDaemonTakesTheHighestOfItsPeersWhileTheTableIsDark, fixture)
{
    publish(1, 0);
    config_store behind;
    poll(behind);
    publish(2, 1);
    config_store ahead;
    poll(ahead);
    table.isDown = objects.isDown = true;
    config_store fresh;
    BOOST_TEST(!poll(fresh));
    for (const config_store* peer : { &behind, &ahead, &behind }) {
        peer_source source { .store = *peer };
        valueOr([&] { return fetchConfig(source, peer->current()->pointer, fresh); }, [](const failure&) { return false; });
    }
    BOOST_TEST(fresh.version().value() == 2U);
    BOOST_TEST(coldLimitOf(fresh) == 2);
}

BOOST_FIXTURE_TEST_CASE(oneChangedWorkspaceSendsOnePart, fixture)
{
    fleet_config config = configWithColdLimit(1);
    for (int i = 0; i < 500; ++i) {
        const workspace_id id { "w" + std::to_string(i) };
        config.workspaces.emplace(id, workspace_settings { .id = id, .services = { service_id { "records" } } });
    }
    const auto publishAndPoll = [&](config_store& store, std::uint64_t base) {
        BOOST_REQUIRE(author.publish(config, config_version { base }));
        return poll(store);
    };
    config_store store;
    BOOST_TEST(publishAndPoll(store, 0));
    const std::size_t objectCount = objects.objects.size();
    config.workspaces.at(workspace_id { "w7" }).limit = 9;
    config.workspaces.erase(workspace_id { "w8" });
    objects.gets = 0;
    BOOST_TEST(publishAndPoll(store, 1));
    BOOST_TEST(objects.objects.size() <= objectCount + 3);
    BOOST_TEST(objects.gets <= 4);
    BOOST_TEST((store.current()->config == config));
    // Parts vanish with their last workspace, and a fresh daemon reads the same as one that followed.
    std::erase_if(config.workspaces, [](const auto& entry) { return entry.first != workspace_id { "w7" }; });
    BOOST_TEST(publishAndPoll(store, 2));
    config_store fresh;
    BOOST_TEST(poll(fresh));
    BOOST_TEST((store.current()->config == config));
    BOOST_TEST((fresh.current()->config == config));
}

BOOST_FIXTURE_TEST_CASE(objectsThatAreNotThePublishedOnesAreRefused, fixture)
{
    const config_pointer pointer = publish(1, 0).current;
    const auto codeOf = [&](const config_pointer& named, const std::map<std::string, std::string>& sent) {
        config_store store;
        return valueOr(
            [&]() -> result<failure_code> {
                BOOST_LEAF_AUTO(isTaken, store.accept(named, sent));
                return isTaken ? failure_code::Refused : failure_code::NotFound;
            },
            [](const failure& error) { return error.code; });
    };
    BOOST_TEST((codeOf(pointer, objects.objects) == failure_code::Refused));
    for (const auto& [key, text] : objects.objects) {
        std::map<std::string, std::string> changed = objects.objects;
        changed.at(key) += "#";
        BOOST_TEST((codeOf(pointer, changed) == failure_code::Broken));
        changed.erase(key);
        BOOST_TEST((codeOf(pointer, changed) == failure_code::Broken));
    }
    const std::string faulty = "services: { records: { kind: none } }\n";
    const std::string manifest = encode(config_manifest { .objectKeys = { { servicesPartName, configObjectKey(faulty) } } });
    const config_pointer faultyPointer { .version = config_version { 1 }, .objectKey = configObjectKey(manifest) };
    BOOST_TEST((codeOf(faultyPointer, { { configObjectKey(faulty), faulty }, { faultyPointer.objectKey, manifest } }) == failure_code::Broken));
}

BOOST_AUTO_TEST_CASE(aBrokenVersionRowIsAFailure)
{
    for (const char* value : { "", "x", "0 config/a", "1", "1 ", "-1 config/a" }) {
        BOOST_TEST_CONTEXT(value)
        {
            const config_pointer read = valueOr([&] { return decodeConfigPointer(value); }, [](const failure&) { return config_pointer {}; });
            BOOST_TEST((read == config_pointer {}));
        }
    }
}
