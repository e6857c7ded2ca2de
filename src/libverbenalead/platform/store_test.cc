#include "platform/store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>

#include "wire/scripted_client.h"

namespace verbenalead::platform {
namespace {

/// Answers that aren't a list of rows, or whose members can't be read.
const std::vector<std::string> kMalformedAnswers = {
    "",
    "null",
    "[]",
    "{",
    "{\"ver\":1}",
    "{\"ver\":\"1\",\"now_ms\":1,\"rows\":[]}",
    "{\"ver\":1,\"now_ms\":\"1\",\"rows\":[]}",
    "{\"ver\":1,\"now_ms\":1e300,\"rows\":[]}",
    "{\"ver\":1,\"now_ms\":-1e300,\"rows\":[]}",
    "{\"ver\":1,\"now_ms\":18446744073709551615,\"rows\":[]}",
    "{\"ver\":18446744073709551615,\"now_ms\":1,\"rows\":[]}",
    "{\"ver\":1,\"now_ms\":1,\"rows\":{}}",
    "{\"ver\":1,\"now_ms\":1,\"rows\":[1,null,{\"key\":2},{\"key\":\"a\","
    "\"ver\":1.5,\"value\":\"?\"}]}"};

class StoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreTest);
  CPPUNIT_TEST(ReadsFractionalMilliseconds);
  CPPUNIT_TEST(MalformedAnswersDoNotThrow);
  CPPUNIT_TEST(NextPageIsRequestedAfterAnyKey);
  CPPUNIT_TEST(PagesThatDoNotEndAreAFailure);
  CPPUNIT_TEST(KeyThatIsNoTextHidesNoOther);
  CPPUNIT_TEST(ListsPartsPageByPage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsFractionalMilliseconds() {
    const auto rows = Read("{\"ver\":7,\"now_ms\":12.5,\"rows\":[]}");
    CPPUNIT_ASSERT(rows);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, rows->m_revision.m_number);
    CPPUNIT_ASSERT_EQUAL(int64_t{12}, ToMilliseconds(rows->m_store_time));
  }

  // Guards against a crash of all processes: they read the same tables, and an
  // exception that escapes the loop that reads a table ends the process.
  void MalformedAnswersDoNotThrow() {
    for (const std::string& answer : kMalformedAnswers)
      CPPUNIT_ASSERT_NO_THROW_MESSAGE(answer, Read(answer));
  }

  // Guards against a list that is never read: its page ends with a key that
  // means something else in the target of a request.
  void NextPageIsRequestedAfterAnyKey() {
    for (const std::string key :
         {"a14%#", "a28+", "i-3&", "i-3 x", "i-4%7e", "i-5\u00e9", "/?="}) {
      const auto rows = ReadPages({Page({key}, true), Page({"z"}, false)});
      CPPUNIT_ASSERT_MESSAGE(key, rows);
      CPPUNIT_ASSERT_EQUAL(size_t{2}, rows->m_rows.size());
      const wire::Request& next = m_client.m_requests.back();
      CPPUNIT_ASSERT_EQUAL(key + std::string(1, '\0'),
                           wire::QueryValue(next, "from"));
      CPPUNIT_ASSERT_EQUAL(std::string("servers"),
                           wire::QueryValue(next, "table"));
    }
  }

  // Guards against a read without end, which takes memory and requests.
  void PagesThatDoNotEndAreAFailure() {
    for (const std::string& again : {Page({"i-3+"}, true), Page({}, true)}) {
      const auto rows = ReadPages({Page({"a", "i-3+"}, true), again, again});
      CPPUNIT_ASSERT(!rows);
      CPPUNIT_ASSERT(rows.error().m_code == FailureCode::kCorrupt);
      CPPUNIT_ASSERT_MESSAGE(
          rows.error().m_reason,
          rows.error().m_reason.find("page 2 after key i-3%2B") !=
              std::string::npos);
    }
  }

  // Guards against one name that hides the whole table, or stops its changes.
  void KeyThatIsNoTextHidesNoOther() {
    for (const std::string key :
         {"i-3\\ud800", "\\udc00", "\\u0001", "a\nb", "\xff", "\\x"}) {
      const std::string page = Page({"a", key, "z"}, false);
      for (const auto& rows : {ReadPages({page}), Read(page)}) {
        CPPUNIT_ASSERT_MESSAGE(key, rows);
        const bool kept = key == "\\x";
        CPPUNIT_ASSERT_EQUAL(size_t{kept ? 3u : 2u}, rows->m_rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("z"), rows->m_rows.back().m_key);
      }
    }
    const auto rows =
        ReadPages({Page({"i-3\\ud800"}, true), Page({"z"}, false)});
    CPPUNIT_ASSERT(rows);
    CPPUNIT_ASSERT_EQUAL(std::string("z"), rows->m_rows.at(0).m_key);
    CPPUNIT_ASSERT(
        m_client.m_requests.back().m_path.ends_with("from=i-3%ED%A0%80%00"));
  }

  // Guards against entries elsewhere that stay unknown behind odd parts.
  void ListsPartsPageByPage() {
    Script({"{\"parts\":[\"a&\",\"b+\"],\"has_more\":true}",
            "{\"parts\":[\"c\"]}"});
    const auto parts = Run<std::vector<std::string>>(
        [](Store& store) { return store.ListParts("entries"); });
    CPPUNIT_ASSERT(parts);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, parts->size());
    CPPUNIT_ASSERT(
        m_client.m_requests.back().m_path.ends_with("after_rev=b%2B"));
    Script({"{\"parts\":[\"a\"],\"has_more\":true}",
            "{\"parts\":[\"a\"],\"has_more\":true}"});
    CPPUNIT_ASSERT(!Run<std::vector<std::string>>(
        [](Store& store) { return store.ListParts("entries"); }));
  }

 private:
  /// An answer whose rows have `keys`, as they stand in JSON.
  static std::string Page(const std::vector<std::string>& keys, bool has_more) {
    std::string rows;
    for (const std::string& key : keys) {
      rows += rows.empty() ? "" : ",";
      rows += "{\"key\":\"" + key + "\",\"ver\":1,\"value\":\"\"}";
    }
    return "{\"ver\":7,\"now_ms\":1,\"rows\":[" + rows +
           "],\"has_more\":" + (has_more ? "true}" : "false}");
  }

  void Script(const std::vector<std::string>& bodies) {
    m_client.m_answers.clear();
    for (const std::string& body : bodies) {
      wire::ScriptedAnswer answer;
      answer.m_head.m_status = 200;
      answer.m_pieces = {body};
      m_client.m_answers.push_back(answer);
    }
  }

  AsyncResult<Rows> ReadPages(const std::vector<std::string>& pages) {
    Script(pages);
    return Run<Rows>([](Store& store) { return store.ReadTable("servers"); });
  }

  AsyncResult<Rows> Read(const std::string& body) {
    Script({body});
    return Run<Rows>(
        [](Store& store) { return store.ReadChanges("op", {}, Duration()); });
  }

  /// Runs `call` on a store with the scripted answers.
  template <typename T>
  AsyncResult<T> Run(
      const std::function<Awaitable<AsyncResult<T>>(Store&)>& call) {
    Store store(m_client, Endpoint("127.0.0.1", 1), m_metrics);
    AsyncResult<T> result = Failure();
    std::exception_ptr thrown;
    boost::asio::io_context io;
    boost::asio::co_spawn(
        io, call(store),
        [&](const std::exception_ptr& error, AsyncResult<T> read) {
          thrown = error;
          result = std::move(read);
        });
    io.run();
    if (thrown)
      std::rethrow_exception(thrown);
    return result;
  }

  wire::ScriptedClient m_client;
  Metrics m_metrics;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);

}  // namespace
}  // namespace verbenalead::platform
