#include "platform/store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>

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

 private:
  AsyncResult<Rows> Read(const std::string& body) {
    wire::ScriptedAnswer answer;
    answer.m_head.m_status = 200;
    answer.m_pieces = {body};
    m_client.m_answers = {answer};
    Store store(m_client, Endpoint("127.0.0.1", 1), m_metrics);
    AsyncResult<Rows> rows = Failure();
    std::exception_ptr thrown;
    boost::asio::io_context io;
    boost::asio::co_spawn(
        io, store.ReadChanges("op", {}, Duration()),
        [&](const std::exception_ptr& error, AsyncResult<Rows> read) {
          thrown = error;
          rows = std::move(read);
        });
    io.run();
    if (thrown)
      std::rethrow_exception(thrown);
    return rows;
  }

  wire::ScriptedClient m_client;
  Metrics m_metrics;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);

}  // namespace
}  // namespace verbenalead::platform
