#include "links/table_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "wire/scripted_client.h"

namespace verbenalead::links {
namespace {

constexpr PollSchedule kSchedule = {1200ms, Duration(), Duration(), false};

class TableFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableFollowerTest);
  CPPUNIT_TEST(ReadsTheWholeTableInANewEra);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against changes a second late: the store came back from a copy and
  // stands just where the process had read to, so it holds the request open.
  void ReadsTheWholeTableInANewEra() {
    Answer(1, "");
    wire::ScriptedAnswer broken;
    broken.m_failure = FailureCode::kBroken;
    m_client.m_answers.push_back(broken);
    Answer(2, "");
    Answer(2, R"({"key":"config","ver":9,"value":""})");
    boost::asio::io_context io;
    platform::Store store(m_client, Endpoint("127.0.0.1", 1), m_metrics);
    size_t rows_applied = 0;
    TableFollower follower(
        io.get_executor(), store, "op", [] { return kSchedule; },
        [&](const platform::Rows& rows, bool is_snapshot) {
          CPPUNIT_ASSERT(is_snapshot);
          rows_applied += rows.m_rows.size();
        });
    boost::asio::co_spawn(io, follower.Run(), boost::asio::detached);
    while (m_client.m_requests.size() < 4 || rows_applied == 0)
      io.run_one();
    CPPUNIT_ASSERT(Path(0).starts_with("/rows-get"));
    CPPUNIT_ASSERT(Path(1).ends_with("after_rev=11&wait_ms=1200"));
    CPPUNIT_ASSERT(Path(2).ends_with("after_rev=11&wait_ms=0"));
    CPPUNIT_ASSERT(Path(3).starts_with("/rows-get"));
    CPPUNIT_ASSERT(follower.revision() == model::Revision({2, 11}));
  }

 private:
  /// The next answer of the store: version 11 of `era`.
  void Answer(uint64_t era, const std::string& rows) {
    wire::ScriptedAnswer answer;
    answer.m_head = {200, {{"store-era", std::to_string(era)}}};
    answer.m_pieces = {R"({"ver":11,"now_ms":1,"rows":[)" + rows + "]}"};
    m_client.m_answers.push_back(answer);
  }

  const std::string& Path(size_t request) const {
    return m_client.m_requests.at(request).m_path;
  }

  wire::ScriptedClient m_client;
  Metrics m_metrics;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableFollowerTest);

}  // namespace
}  // namespace verbenalead::links
