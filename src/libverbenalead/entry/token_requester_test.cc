#include "entry/token_requester.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/boot_clock.h"

namespace verbenalead::entry {
namespace {

class TokenRequesterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenRequesterTest);
  CPPUNIT_TEST(AnswerOfTheHolderDecides);
  CPPUNIT_TEST(SilentHolderMeansNoCall);
  CPPUNIT_TEST(LateAnswerSendsNoCall);
  CPPUNIT_TEST(HolderCountsItsOwnCallsAndThoseOfOthers);
  CPPUNIT_TEST(UnlimitedReplicaNeedsNoToken);
  CPPUNIT_TEST(OnlyTheHolderGrants);
  CPPUNIT_TEST(SilentHolderMeansNoCallAtAColdReplica);
  CPPUNIT_TEST(NewHolderOfAColdReplicaWaits);
  CPPUNIT_TEST(RequestTellsTheHolderThatTheReplicaIsCold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EntryOptions options;
    options.m_own_address = {"e1", "a", Endpoint("127.0.0.1", 1),
                             Endpoint("127.0.0.1", 0)};
    options.m_strict_keys = false;
    m_state = std::make_unique<EntryState>(options);
    m_state->m_routes =
        std::make_shared<decide::RouteTable>(model::RoutingConfig());
    m_state->m_replicas_known = true;
    m_io = std::make_unique<boost::asio::io_context>();
    m_datagrams = std::make_unique<links::DatagramSocket>(
        m_io->get_executor(), Endpoint("127.0.0.1", 0));
    m_tokens = std::make_unique<TokenRequester>(*m_state, *m_datagrams);
    model::Replica replica;
    replica.m_id = "i-1";
    replica.m_endpoint = Endpoint("127.0.0.1", 8);
    // Only the entries of this data centre can hold its token bucket.
    replica.m_data_center = "a";
    replica.m_slots = 4;
    decide::SetReplicas(GetOrCreateService(*m_state, "ledger").m_pool,
                        {replica}, TimePoint(), Now());
    m_granted.clear();
  }

  void AnswerOfTheHolderDecides() {
    MakeOtherEntryHolder();
    Limit(1);
    Ask();
    m_tokens->HandleAnswer({"i-1", 1, true, Duration(), std::nullopt});
    m_io->poll();
    CPPUNIT_ASSERT(m_granted == std::vector<bool>{true});
    Ask();
    m_tokens->HandleAnswer({"i-1", 2, false, 5s, std::nullopt});
    m_io->poll();
    CPPUNIT_ASSERT((m_granted == std::vector<bool>{true, false}));
    CPPUNIT_ASSERT(Replica().m_rate_held_until > Now() + 4s);
  }

  void SilentHolderMeansNoCall() {
    MakeOtherEntryHolder();
    Limit(1e6);
    Ask();
    m_io->run();
    CPPUNIT_ASSERT(m_granted == std::vector<bool>{false});
    CPPUNIT_ASSERT(Replica().m_rate_held_until > Now());
  }

  void LateAnswerSendsNoCall() {
    MakeOtherEntryHolder();
    Limit(1);
    Ask();
    m_io->run();
    m_tokens->HandleAnswer({"i-1", 1, true, Duration(), std::nullopt});
    m_io->poll();
    CPPUNIT_ASSERT(m_granted == std::vector<bool>{false});
  }

  void HolderCountsItsOwnCallsAndThoseOfOthers() {
    Limit(0);
    Ask();
    m_io->run();
    CPPUNIT_ASSERT(m_granted == std::vector<bool>{false});
    CPPUNIT_ASSERT(Replica().m_rate_held_until > Now() + 5s);
  }

  void UnlimitedReplicaNeedsNoToken() {
    MakeOtherEntryHolder();
    Ask();
    m_io->poll();
    CPPUNIT_ASSERT(m_granted == std::vector<bool>{true});
  }

  // Guards against two entries that both admit the whole rate.
  void OnlyTheHolderGrants() {
    Limit(1e6);
    const Endpoint other("127.0.0.1", 9);
    const links::TokenRequest request = {"i-1", 1, {1e6, Duration()}};
    m_tokens->HandleRequest(other, request);
    // The bucket starts empty, and fills at once at this rate.
    Ask();
    m_io->restart();
    m_io->poll();
    const std::string text = m_state->m_metrics.Text();
    CPPUNIT_ASSERT(text.find("rate_limit_grants_total") != std::string::npos);
    m_state = nullptr;
    setUp();
    MakeOtherEntryHolder();
    Limit(1e6);
    for (int i = 0; i < 3; ++i)
      m_tokens->HandleRequest(other, request);
    CPPUNIT_ASSERT(m_state->m_metrics.Text().find("rate_limit_grants_total") ==
                   std::string::npos);
  }

  // Guards against entries that send a cold replica calls that nobody counts.
  void SilentHolderMeansNoCallAtAColdReplica() {
    MakeCold();
    MakeOtherEntryHolder();
    Ask();
    m_io->run();
    CPPUNIT_ASSERT(m_granted == std::vector<bool>{false});
    CPPUNIT_ASSERT(Replica().m_rate_held_until > Now());
  }

  // Guards against a full bucket of an entry that has just taken over.
  void NewHolderOfAColdReplicaWaits() {
    MakeCold();
    Ask();
    m_io->run();
    CPPUNIT_ASSERT(m_granted == std::vector<bool>{false});
    CPPUNIT_ASSERT(Replica().m_rate_held_until > Now() + 1s);
  }

  // Guards against a holder that has just started and knows of no cold time.
  void RequestTellsTheHolderThatTheReplicaIsCold() {
    MakeCold();
    Replica().m_known.m_cold = {};
    links::TokenRequest request = {"i-1", 1, {std::nullopt, 3600s}};
    request.m_cold =
        links::ColdReport{5s, decide::ColdSource::kAnswer, {0, 5}, Duration()};
    m_tokens->HandleRequest(Endpoint("127.0.0.1", 9), request);
    CPPUNIT_ASSERT(decide::IsCold(Replica().m_known.m_cold, Now() + 4s));
    Ask();
    m_io->run();
    CPPUNIT_ASSERT(m_granted == std::vector<bool>{false});
  }

 private:
  void MakeCold() {
    decide::ReplicaPool& pool = GetOrCreateService(*m_state, "ledger").m_pool;
    decide::SetColdLimits(pool, {14, 1.5, 5}, Duration(), Now());
    Replica().m_replica.m_service = "ledger";
    Replica().m_known.m_cold = decide::ColdByAnswer(5s, Now());
  }

  /// Adds an entry that is ready in the data centre of the replica, while this
  /// one is stopping.
  void MakeOtherEntryHolder() {
    PeerEntry& peer = m_state->m_peers["e0"];
    peer.m_address = {"e0", "a", Endpoint("127.0.0.1", 2),
                      Endpoint("127.0.0.1", 9)};
    peer.m_ready = true;
    peer.m_last_seen_at = Now();
    m_state->m_stopping = true;
  }

  decide::ReplicaState& Replica() {
    return GetOrCreateService(*m_state, "ledger").m_pool.m_replicas.at("i-1");
  }

  void Limit(double rate) {
    Replica().m_known.m_rate_limit = {rate, Now(), true};
  }

  void Ask() {
    m_io->restart();
    boost::asio::co_spawn(*m_io, AskOnce(), boost::asio::detached);
    m_io->poll();
  }

  Awaitable<void> AskOnce() {
    const bool granted = co_await m_tokens->RequestToken("ledger", "i-1");
    m_granted.push_back(granted);
  }

  std::unique_ptr<EntryState> m_state;
  std::unique_ptr<boost::asio::io_context> m_io;
  std::unique_ptr<links::DatagramSocket> m_datagrams;
  std::unique_ptr<TokenRequester> m_tokens;
  std::vector<bool> m_granted;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenRequesterTest);

}  // namespace
}  // namespace verbenalead::entry
