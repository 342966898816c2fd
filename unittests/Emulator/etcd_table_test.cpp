// Tests that the table in memory compares, writes and refuses as etcd does.
#include "etcd_table.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
using Poco::JSON::Object;

namespace {

Object::Ptr parse(const std::string& text)
{
    return Poco::JSON::Parser {}.parse(text).extract<Object::Ptr>();
}

// Keys and values in base64: YQ== is a, Yg== is b, Yw== is c.
std::string put(const std::string& key, const std::string& value)
{
    return R"({"request_put":{"key":")" + key + R"(","value":")" + value + R"("}})";
}

Object::Ptr transact(etcd_table& table, const std::string& compare, const std::string& success)
{
    return table.transact(*parse(R"({"compare":[)" + compare + R"(],"success":[)" + success + "]}"));
}

std::size_t rowsIn(const etcd_table& table, const std::string& request)
{
    return table.range(*parse(request))->getArray("kvs")->size();
}

/// The table has row a with value b, written twice: mod revision 3, version 2.
struct two_writes {
    two_writes()
    {
        transact(table, "", put("YQ==", "YQ=="));
        transact(table, "", put("YQ==", "Yg=="));
    }
    etcd_table table;
};

struct comparison {
    const char* text;
    bool holds;
};

std::ostream& operator<<(std::ostream& out, const comparison& each)
{
    return out << each.text;
}

const comparison comparisons[] = {
    { R"({"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"3"})", true },
    { R"({"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"2"})", false },
    { R"({"key":"YQ==","target":"MOD","result":"LESS","mod_revision":"4"})", true },
    { R"({"key":"YQ==","target":"MOD","result":"GREATER","mod_revision":"3"})", false },
    { R"({"key":"YQ==","target":"VERSION","result":"EQUAL","version":"2"})", true },
    { R"({"key":"YQ==","target":"VERSION","result":"NOT_EQUAL","version":"2"})", false },
    { R"({"key":"YQ==","target":"VALUE","result":"EQUAL","value":"Yg=="})", true },
    { R"({"key":"YQ==","target":"VALUE","result":"EQUAL","value":"YQ=="})", false },
    { R"({"key":"Yg==","target":"MOD","result":"EQUAL","mod_revision":"0"})", true },
    { R"({"key":"Yg==","target":"VALUE","result":"NOT_EQUAL","value":"YQ=="})", false },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(etcdTable, two_writes)

BOOST_DATA_TEST_CASE(compares, boost::unit_test::data::make(comparisons), each)
{
    const Object::Ptr answer = transact(table, each.text, put("Yw==", "Yw=="));
    BOOST_TEST(answer->getValue<bool>("succeeded") == each.holds);
    BOOST_TEST(rowsIn(table, R"({"key":"Yw=="})") == (each.holds ? 1U : 0U));
}

BOOST_AUTO_TEST_CASE(oneTransactionIsOneRevision)
{
    transact(table, "", put("Yg==", "YQ==") + "," + put("Yw==", "YQ=="));
    BOOST_TEST(table.revision() == 4);
    BOOST_TEST(rowsIn(table, R"({"key":"AA==","range_end":"AA=="})") == 3U);
    BOOST_TEST(rowsIn(table, R"({"key":"AA==","range_end":"AA==","limit":"2"})") == 2U);
    BOOST_TEST(rowsIn(table, R"({"key":"YQ==","range_end":"Yw==","min_mod_revision":"4"})") == 1U);
    transact(table, "", R"({"request_delete_range":{"key":"YQ==","range_end":"Yw=="}})");
    BOOST_TEST(rowsIn(table, R"({"key":"AA==","range_end":"AA=="})") == 1U);
}

BOOST_AUTO_TEST_CASE(refusesBeforeAnythingIsApplied)
{
    BOOST_CHECK_THROW(transact(table, "", put("Yg==", "YQ==") + R"(,{"request_other":{}})"), Poco::Exception);
    BOOST_CHECK_THROW(transact(table, "", put("Yg==", "YQ==") + "," + put("Yg==", "Yg==")), Poco::Exception);
    std::string many = put("Yg==", "YQ==");
    for (int count = 0; count < 128; ++count)
        many += R"(,{"request_range":{"key":"YQ=="}})";
    BOOST_CHECK_THROW(transact(table, "", many), Poco::Exception);
    BOOST_TEST(table.revision() == 3);
    BOOST_TEST(rowsIn(table, R"({"key":"Yg=="})") == 0U);
}

BOOST_AUTO_TEST_CASE(answersFromOldRowsAsLongAsItIsAsked)
{
    const std::string all = R"({"key":"AA==","range_end":"AA=="})";
    table.setReadAge(read_age::Stale);
    transact(table, "", put("Yg==", "YQ=="));
    BOOST_TEST(rowsIn(table, all) == 1U);
    BOOST_TEST(rowsIn(table, all) == 1U);
    table.setReadAge(read_age::Alternate);
    const std::size_t first = rowsIn(table, all);
    BOOST_TEST(first + rowsIn(table, all) == 3U);
    BOOST_TEST(rowsIn(table, all) == first);
    table.setReadAge(read_age::Newest);
    BOOST_TEST(rowsIn(table, all) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
