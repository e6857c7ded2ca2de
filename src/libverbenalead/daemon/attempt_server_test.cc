#include "daemon/attempt_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "peer/header_names.h"
#include "wire/recording_writer.h"
#include "wire/scripted_client.h"

namespace verbenalead::daemon {
namespace {

constexpr Duration kTimeLeft = 300s;

class AttemptServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptServerTest);
  CPPUNIT_TEST(EngineMayPauseUntilCallDeadline);
  CPPUNIT_TEST(NonIdempotentAnswerIsReadAfterDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EngineMayPauseUntilCallDeadline() {
    const TimePoint start = Now();
    const wire::RecordingWriter caller = Serve(kTimeLeft, "");
    CPPUNIT_ASSERT(caller.m_complete);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), caller.m_body);
    for (const TimePoint deadline : m_client.m_body_deadlines) {
      CPPUNIT_ASSERT(deadline >= start + kTimeLeft);
      CPPUNIT_ASSERT(deadline <= Now() + kTimeLeft);
    }
  }

  // The answer to a non-idempotent call is read after the call's deadline. If
  // it were dropped at the deadline, the call would have no recorded outcome.
  void NonIdempotentAnswerIsReadAfterDeadline() {
    const TimePoint start = Now();
    Serve(1ms, "fee-1");
    CPPUNIT_ASSERT(!m_client.m_body_deadlines.empty());
    for (const TimePoint deadline : m_client.m_body_deadlines)
      CPPUNIT_ASSERT(deadline > start + 10s);
  }

 private:
  wire::RecordingWriter Serve(Duration time_left, const std::string& key) {
    m_client.m_body_deadlines.clear();
    GuardedGate gate(1, 4);
    gate.With([](decide::GateState& state) {
      state.m_open = true;
      return 0;
    });
    backends::Engine engine(m_client, Endpoint("127.0.0.1", 1));
    Journal journal("target-1", 16);
    AttemptServer server("target-1", gate, engine, journal);
    wire::ScriptedAnswer answer;
    answer.m_head = {200, {{peer::kDigest, ToString(Digest())}}};
    answer.m_pieces = {"ans", "wer"};
    m_client.m_answers = {answer};
    wire::Request request;
    request.m_headers = {
        {peer::kCall, "call-1"},
        {peer::kAttempt, "1"},
        {peer::kIncarnation, "1"},
        {peer::kDeadline, std::to_string(ToMilliseconds(time_left))},
        {peer::kMethod, "POST"},
        {peer::kPath, "/v1/completions"}};
    if (!key.empty())
      request.m_headers["idempotency-key"] = key;
    wire::RecordingWriter caller;
    boost::asio::io_context io;
    boost::asio::co_spawn(io, server.Serve(request, caller),
                          boost::asio::detached);
    io.run();
    return caller;
  }

  wire::ScriptedClient m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptServerTest);

}  // namespace
}  // namespace verbenalead::daemon
